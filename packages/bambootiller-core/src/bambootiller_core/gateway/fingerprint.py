"""Tells a request that comes again from other requests.

A caller's further try has a new request id, and may come to another entry. What stays
the same is who sends it, where to, and its body.
"""

from __future__ import annotations

import hashlib

#: Enough that two requests of a fleet's day don't share a fingerprint. Bytes.
DIGEST_BYTES = 8


def fingerprint(caller: str, method: str, host: str, target: bytes, body: bytes) -> str:
    """The same text for each try of a request, at whatever entry it arrives.

    >>> first = fingerprint("10.0.0.1", "POST", "a.example", b"/x", b"body")
    >>> first == fingerprint("10.0.0.1", "POST", "a.example", b"/x", b"body")
    True
    >>> first == fingerprint("10.0.0.2", "POST", "a.example", b"/x", b"body")
    False
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (caller.encode(), method.encode(), host.encode(), target, body):
        # With its length ahead, no part can pass for the end of the one before.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
