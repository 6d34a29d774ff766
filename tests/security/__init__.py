"""Tests of who may talk to whom: certificates, operators' keys, callers."""
