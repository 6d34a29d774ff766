"""The experiments' models against real processes: one scenario, run both ways.

``python -m bambootiller_standins.agreement`` runs a small scenario on virtual time with
the experiments' own code, and with the same arrivals on real entries and agents beside
stand-ins that are given the same memory, load times, token times and store rate.
"""
