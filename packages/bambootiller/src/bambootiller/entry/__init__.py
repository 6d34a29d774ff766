"""The entry role: callers' requests in over HTTP, and on to the agents.

A request goes through :mod:`.arrivals` (authentication, validation), :mod:`.relays` and
:mod:`.relay` (which agent, what after each event), and back through :mod:`.resources`.

The role itself stands in :mod:`.role`. It isn't imported here: the gateway uses the
HTTP server of this package, and its processes would load the whole role at each start.
"""
