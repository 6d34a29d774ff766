"""What entries and agents cost while nobody calls: ``python -m tests.rest``."""
