"""Tests that each part does what its interface says."""
