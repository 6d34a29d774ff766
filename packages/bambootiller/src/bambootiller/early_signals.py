"""Hang-ups that come before the event loop can take them.

A hang-up means that the settings are to be read again. Until a handler is installed it
ends the process, and loading the libraries takes a good part of a second; so settings
that change twice in quick succession, or while a process is being restarted, would end
it. A launcher calls :func:`hold_hangups` before anything else is imported; the
application asks :func:`hangup_came` once its own handler stands.
"""

import signal

_came = False


def hold_hangups() -> None:
    """From now on a hang-up is only noted."""
    signal.signal(signal.SIGHUP, _note)


def hangup_came() -> bool:
    """Whether one has come; asking forgets it."""
    global _came
    came, _came = _came, False
    return came


def _note(signum: int, frame: object) -> None:
    global _came
    _came = True
