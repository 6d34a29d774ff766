"""Decisions of the gateway: calls that are passed on to backend servers as they came.

The gateway serves callers whose protocol isn't the product's own. It knows routes,
calls and backend servers by the types in :mod:`.config`, :mod:`.calls` and
:mod:`.fleet`; an adapter translates a platform's names into these."""
