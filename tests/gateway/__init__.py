"""Tests of the gateway: calls passed on to backend servers as they came."""
