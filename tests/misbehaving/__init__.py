"""Callers that send without end, stop halfway, or never read."""
