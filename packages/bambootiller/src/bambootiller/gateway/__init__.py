"""The gateway: calls of a platform's own protocol, passed on to backend servers.

The decisions stand in :mod:`bambootiller_core.gateway`; here are the sockets round
them. What a platform calls things is known to its adapter alone, which implements
:class:`~bambootiller.gateway.ports.Dialect` and the other ports.
"""
