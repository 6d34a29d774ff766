"""What the whole path costs: entry and agent, against calling the engine directly.

One run has every side up at the same time, beside engines of the same kind, and asks
them in turn, so that whatever else the machine does in the meantime meets all alike.
Run it with ``python -m bambootiller_standins.overhead``.
"""
