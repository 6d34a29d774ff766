"""Who holds a turn of the weight store, as it is kept in the key-value service.

Each load from the store takes one key from before it is ordered until it is over. The
keys of a service are numbered from 0; whoever wants a turn takes the first that is
free, so no more are held than those who take them allow.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass

from bambootiller_core.ports import Record

PREFIX = "bambootiller/store-turns/"


@dataclass(frozen=True, slots=True)
class StorePermitRecord:
    """An agent and the model for which it took the turn."""

    holder: str
    model: str

    def encode(self) -> bytes:
        """The value of the key.

        >>> StorePermitRecord.decode(StorePermitRecord("a1", "tutor").encode())
        StorePermitRecord(holder='a1', model='tutor')
        """
        return json.dumps({"holder": self.holder, "model": self.model}).encode()

    @classmethod
    def decode(cls, value: bytes) -> StorePermitRecord | None:
        """The same, read; None if it can't be. Its key is taken all the same."""
        try:
            document = json.loads(value)
            return cls(str(document["holder"]), str(document["model"]))
        except (ValueError, KeyError, TypeError):
            return None


def prefix_of(service: str) -> str:
    """Where the turns of a service are kept."""
    return f"{PREFIX}{service}/"


def key_of(service: str, number: int) -> str:
    """Where one turn is kept.

    >>> key_of("tutor", 0)
    'bambootiller/store-turns/tutor/0'
    """
    return f"{prefix_of(service)}{number}"


def free_key(service: str, held: Iterable[Record], permits: int) -> str | None:
    """The first free one of so many turns, None if as many are held.

    >>> free_key("tutor", [Record("bambootiller/store-turns/tutor/0", b"", 7)], 2)
    'bambootiller/store-turns/tutor/1'
    """
    taken = {record.key for record in held}
    if len(taken) >= permits:
        return None
    keys = [key_of(service, number) for number in range(permits)]
    return next(key for key in keys if key not in taken)
