"""Tests of the stand-ins, the harness and the load tool."""
