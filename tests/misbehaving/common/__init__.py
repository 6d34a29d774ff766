"""What the tests of misbehaving callers share."""
