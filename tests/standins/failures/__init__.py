"""Tests of the faults that the stand-ins can be ordered to show."""
