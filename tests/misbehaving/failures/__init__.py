"""Tests of failures that misbehaving callers have caused."""
