"""Experiments that measure the policy's decisions against baselines, on virtual time.

The decisions are the core's own: the same code that an agent and an entry run is driven
here by a queue of events in place of a loop. Only what lies outside the core is
modelled, and no more of it than the decisions depend on: engines with memory,
checkpoint tiers and load times, a weight store that serves a few loads at full speed,
entries that learn load figures from replies. What these small models leave out, the
report names.

``python -m bambootiller_standins.experiments --seeds 5 --out DIR`` runs every scenario
under every policy and writes a report, the figures as JSON, and plots.
"""
