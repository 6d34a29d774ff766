"""Carrying one request to a backend server and its answer back.

:mod:`.core` decides what happens after each event, without input or output;
:mod:`.driver` makes the calls and passes the pieces on.
"""
