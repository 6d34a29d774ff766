"""Tests of slot keeping."""
