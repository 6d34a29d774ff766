"""The records of the weight store's permits in the key-value service.

Each load from the store holds one key, from before it is ordered until it has ended.
The keys of a service are numbered from 0. An agent takes the first free one below the
number of permits that it assumes, which bounds the number of simultaneous loads.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass

from bambootiller_core.ports import Record

PREFIX = "bambootiller/store-turns/"


@dataclass(frozen=True, slots=True)
class StorePermitRecord:
    """An agent, and the model for which it acquired the permit."""

    holder: str
    model: str

    def encode(self) -> bytes:
        """Encode the record as the value of a key.

        >>> StorePermitRecord.decode(StorePermitRecord("a1", "tutor").encode())
        StorePermitRecord(holder='a1', model='tutor')
        """
        return json.dumps({"holder": self.holder, "model": self.model}).encode()

    @classmethod
    def decode(cls, value: bytes) -> StorePermitRecord | None:
        """Decode the value of a key. Returns None if it is malformed; the permit counts
        as held even so."""
        try:
            document = json.loads(value)
            return cls(str(document["holder"]), str(document["model"]))
        except (ValueError, KeyError, TypeError, RecursionError):
            return None


def prefix_of(service: str) -> str:
    """Return the prefix of the keys of a service's permits."""
    return f"{PREFIX}{service}/"


def key_of(service: str, number: int) -> str:
    """Return the key of one permit.

    >>> key_of("tutor", 0)
    'bambootiller/store-turns/tutor/0'
    """
    return f"{prefix_of(service)}{number}"


def free_key(service: str, held: Iterable[Record], permits: int) -> str | None:
    """Return the key of the first free permit, None if ``permits`` or more are held.

    >>> free_key("tutor", [Record("bambootiller/store-turns/tutor/0", b"", 7)], 2)
    'bambootiller/store-turns/tutor/1'
    """
    taken = {record.key for record in held}
    if len(taken) >= permits:
        return None
    keys = [key_of(service, number) for number in range(permits)]
    return next(key for key in keys if key not in taken)
