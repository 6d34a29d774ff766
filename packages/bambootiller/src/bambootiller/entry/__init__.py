"""The entry role: callers' requests in over HTTP, and on to the agents.

A request goes through :mod:`.arrivals` (authentication, validation), :mod:`.relays` and
:mod:`.relay` (which agent, what after each event), and back through :mod:`.resources`.
"""

from bambootiller.entry.role import EntryRole

__all__ = ["EntryRole"]
