"""Tells a request that comes again from other requests.

A caller's further try has a new request id, and may come to another entry. What stays
the same is where it is sent, and its body. The address that it comes from doesn't: each
entry has callers of its own availability zone, by addresses of that zone.
"""

from __future__ import annotations

import hashlib

#: Enough that two requests of a fleet's day don't share a fingerprint. Bytes.
DIGEST_BYTES = 8


def fingerprint(method: str, host: str, target: bytes, body: bytes) -> str:
    """The same text for each try of a request, at whatever entry it arrives.

    >>> first = fingerprint("POST", "a.example", b"/x", b"body")
    >>> first == fingerprint("POST", "a.example", b"/x", b"body")
    True
    >>> first == fingerprint("POST", "a.example", b"/x", b"other")
    False
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (method.encode(), host.encode(), target, body):
        # With its length ahead, no part can pass for the end of the one before.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
