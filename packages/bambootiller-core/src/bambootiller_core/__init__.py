"""Decisions of bambootiller, without input or output."""
