"""The operators' command line, ``bambootiller``."""
