"""The gateway: forwards calls in a platform's own protocol to backend servers.

The decisions are made in :mod:`bambootiller_core.gateway`; this package adds the
network I/O. Only the platform's adapter knows the platform's protocol: it implements
:class:`~bambootiller.gateway.ports.Dialect` and the other ports.
"""
