"""Which entries may hold shares of quotas, as it is kept in the key-value service.

An allocator that follows another has to know what the entries hold. It hears that from
them; of one that it doesn't hear, the record tells that it exists, and how large a
share of any customer it holds at most. It is written before such a share is granted.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field

HOLDER_KEY = "bambootiller/quotas/allocator"
MEMBERS_KEY = "bambootiller/quotas/members"


class UnreadableRecord(ValueError):
    """The record can't be read, and why."""


@dataclass(frozen=True, slots=True)
class Member:
    """A process of an entry, and the largest part of each customer's limit that it may
    hold; none of those that aren't named."""

    incarnation: str
    ceilings: Mapping[str, float] = field(default_factory=dict)


def encode(members: Mapping[str, Member]) -> bytes:
    """The value of the key, by the entries' names.

    >>> decode(encode({"e1": Member("a", {"c1": 0.25})}))
    {'e1': Member(incarnation='a', ceilings={'c1': 0.25})}
    """
    document = {
        name: [
            member.incarnation,
            {key: round(part, 4) for key, part in sorted(member.ceilings.items())},
        ]
        for name, member in sorted(members.items())
    }
    return json.dumps(document, separators=(",", ":")).encode()


def decode(value: bytes) -> dict[str, Member]:
    """The same, read. Raises :class:`UnreadableRecord`."""
    try:
        document = json.loads(value)
        return {
            str(name): Member(str(incarnation), _parts(ceilings))
            for name, (incarnation, ceilings) in document.items()
        }
    except (ValueError, TypeError, AttributeError) as exc:
        raise UnreadableRecord(f"members of quotas: {type(exc).__name__}") from exc


def _parts(ceilings: Mapping[str, float]) -> dict[str, float]:
    return {
        str(name): min(1.0, max(0.0, float(part))) for name, part in ceilings.items()
    }
