"""The audit trail: one record for each accepted change of a template.

A record is written in the same transaction as the template that it is about, so there
is neither a change without a record nor a record without a change. It carries the
writer's token, a random text made for one attempt: after a lost answer the writer finds
out from the token whether the change that now stands is its own.

The trail of a customer is bounded: a change removes the record that is ``KEPT``
versions older, because the service is small and changes come by the thousand. Whoever
must keep records longer collects them with ``bambootiller audit --json``.
"""

import json
from collections.abc import Mapping
from dataclasses import asdict, dataclass
from typing import Any

from bambootiller.operators.differences import Difference

KEPT = 2000
#: A first template or a rewrite differs in every field; the record stays small.
MOST_DIFFERENCES = 100
MOST_VALUE = 200


@dataclass(frozen=True, slots=True)
class AuditRecord:
    """Who changed a customer's template, when, why and how.

    ``when`` is UTC in ISO form, read from the operator's clock. ``more`` counts the
    differences beyond those listed. ``previous_version`` 0 stands for a first template.
    """

    customer: str
    version: int
    previous_version: int
    who: str
    when: str
    reason: str
    token: str
    differences: tuple[Difference, ...] = ()
    more: int = 0

    def encode(self) -> bytes:
        """The record as stored."""
        return json.dumps(asdict(self), ensure_ascii=False).encode()


@dataclass(frozen=True, slots=True)
class Unreadable:
    """A stored record that this program can't read; it is shown, not hidden."""

    detail: str


def summarise(found: tuple[Difference, ...]) -> tuple[tuple[Difference, ...], int]:
    """The differences that a record lists, with long values cut, and how many more."""
    listed = tuple(
        Difference(item.path, _cut(item.before), _cut(item.after))
        for item in found[:MOST_DIFFERENCES]
    )
    return listed, len(found) - len(listed)


def decode(value: bytes) -> AuditRecord | Unreadable:
    """Read a stored record. Fields that a newer program added are left out."""
    try:
        raw: Mapping[str, Any] = json.loads(value)
        listed = tuple(
            Difference(item["path"], item["before"], item["after"])
            for item in raw["differences"]
        )
        return AuditRecord(
            customer=raw["customer"],
            version=int(raw["version"]),
            previous_version=int(raw["previous_version"]),
            who=str(raw["who"]),
            when=str(raw["when"]),
            reason=str(raw["reason"]),
            token=str(raw["token"]),
            differences=listed,
            more=int(raw["more"]),
        )
    except (ValueError, TypeError, KeyError) as exc:
        return Unreadable(f"{type(exc).__name__}: {exc}")


def _cut(text: str | None) -> str | None:
    if text is None or len(text) <= MOST_VALUE:
        return text
    # Still valid JSON, so that whoever reads the record needs no special case.
    return json.dumps(text[:MOST_VALUE] + "...", ensure_ascii=False)
