"""The demonstration: the whole system once, on loopback, against the stand-ins."""
