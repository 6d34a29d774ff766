"""The record of the entries that may hold shares of quotas, in the key-value service.

A new allocator needs to learn what the entries hold. Entries report it; of an entry
that doesn't, the record contains its name and the largest share of each customer's
limit that it may hold. The record is written before such a share is granted.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field

HOLDER_KEY = "bambootiller/quotas/allocator"
MEMBERS_KEY = "bambootiller/quotas/members"
#: What decoding a value that another program wrote may raise. Numbers may be too large
#: and lists nested too deeply.
_DECODING_ERRORS = (
    ValueError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)


class UnreadableRecord(ValueError):
    """The record is malformed; the message describes the error."""


@dataclass(frozen=True, slots=True)
class Member:
    """A process of an entry, and its ceilings: the largest fraction of each customer's
    limit that it may hold, 0 for customers that aren't listed."""

    incarnation: str
    ceilings: Mapping[str, float] = field(default_factory=dict)


def encode(members: Mapping[str, Member]) -> bytes:
    """Encode the members, by the names of their entries, as the value of the key.

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
    """Decode the value of the key. Raises :class:`UnreadableRecord`."""
    try:
        document = json.loads(value)
        return {
            str(name): Member(str(incarnation), _parts(ceilings))
            for name, (incarnation, ceilings) in document.items()
        }
    except _DECODING_ERRORS as exc:
        raise UnreadableRecord(f"invalid quota members: {type(exc).__name__}") from exc


def _parts(ceilings: Mapping[str, float]) -> dict[str, float]:
    return {
        str(name): min(1.0, max(0.0, float(part))) for name, part in ceilings.items()
    }
