"""Decision logic of the gateway, which forwards calls to backend servers unchanged.

The gateway serves callers that use a platform's protocol instead of the product's own.
It works on the types in :mod:`.config`, :mod:`.calls` and :mod:`.fleet`; an adapter
translates the platform's names into these."""
