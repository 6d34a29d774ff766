"""Recognizes retries of a request.

A caller's retry has a new request id, and may arrive at another entry. Its target and
body stay the same. Its source address may not: each entry has callers of its own
availability zone, with addresses of that zone.
"""

from __future__ import annotations

import hashlib

#: Enough to make collisions among a fleet's requests of one day unlikely. Bytes.
DIGEST_BYTES = 8


def fingerprint(method: str, host: str, target: bytes, body: bytes) -> str:
    """A digest that is the same for every attempt of a request, at every entry.

    >>> first = fingerprint("POST", "a.example", b"/x", b"body")
    >>> first == fingerprint("POST", "a.example", b"/x", b"body")
    True
    >>> first == fingerprint("POST", "a.example", b"/x", b"other")
    False
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (method.encode(), host.encode(), target, body):
        # The length prefix keeps bytes from moving between parts unnoticed.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
