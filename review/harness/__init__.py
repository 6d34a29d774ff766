"""Runs the project's programs between stand-ins, for the cases of the review."""
