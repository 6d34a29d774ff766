"""Tests of whole fleets: real processes against the stand-ins."""
