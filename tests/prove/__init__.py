"""Reruns the proofs of what must always hold, and sums them up by property."""
