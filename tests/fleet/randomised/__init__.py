"""Seeded random runs of a whole small fleet of processes under faults."""
