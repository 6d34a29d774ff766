"""Applying a template: compare-and-swap, with the audit record in one transaction.

The transaction compares the revision at which the old template was read, and that no
record exists yet for the new version. So of two operators who change the same template
at the same time, one wins and the other is told what changed and by whom.

The service can lose its answer after the write took effect. Then the writer can't tell,
and must neither report a failure (the change may be in force) nor write again as if
nothing had been (that could undo a later change). It reads the record of the version it
wanted to write: its own token there settles that it won, another's that it lost. If no
record stands there, the same transaction is sent again, which is safe because its
compares let it take effect once at most. If that doesn't settle it within a few
attempts, the outcome is reported as unknown.

    outcome = await Changes(kv).apply(draft, author, pause)
    match outcome:
        case Applied(record): ...
        case LostRace(current, records): ...
"""

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from bambootiller.operators import audit, keys
from bambootiller.operators.audit import AuditRecord, Unreadable
from bambootiller.operators.differences import Difference, differences
from bambootiller.templates import Draft
from bambootiller_core.ports import (
    Committed,
    Compare,
    Delete,
    KeyValue,
    Put,
    Record,
    Unavailable,
    Unknown,
)

ATTEMPTS = 5
MOST_SHOWN_RECORDS = 20


@dataclass(frozen=True, slots=True)
class Author:
    """Who makes a change, when (UTC, ISO form), why, and the token of this attempt."""

    who: str
    when: str
    reason: str
    token: str


@dataclass(frozen=True, slots=True)
class Stored:
    """A customer's template as it stands: plain data, and the revision it was read at.

    A customer without a template has version 0, revision 0 and no data.
    """

    customer: str
    version: int
    mod_revision: int
    document: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Applied:
    """The change is accepted, at this revision of the key-value service."""

    record: AuditRecord
    revision: int


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The template already says just this; nothing was written."""

    version: int


@dataclass(frozen=True, slots=True)
class LostRace:
    """Someone else's change came first; nothing was written.

    ``records`` are the changes since the version that the author started from, oldest
    first, as far as they are kept.
    """

    customer: str
    base_version: int
    current_version: int
    records: tuple[AuditRecord, ...]


@dataclass(frozen=True, slots=True)
class KeyTaken:
    """A caller's key stands in another customer's template already."""

    caller: str
    other_customer: str
    other_caller: str


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The change may or may not be in force; ``token`` identifies it in the trail."""

    customer: str
    version: int
    token: str
    detail: str


@dataclass(frozen=True, slots=True)
class BadDocument:
    """What stands in the service can't be read as a template."""

    key: str
    detail: str


ApplyOutcome = (
    Applied
    | Unchanged
    | LostRace
    | KeyTaken
    | OutcomeUnknown
    | BadDocument
    | Unavailable
)
Pause = Callable[[int], Awaitable[None]]


class Changes:
    """Reads and changes templates through the key-value port."""

    def __init__(self, kv: KeyValue) -> None:
        self._kv = kv

    async def read(self, customer: str) -> Stored | BadDocument | Unavailable:
        """The customer's template as it stands."""
        key = keys.template_key(customer)
        found = await self._kv.get(key)
        if isinstance(found, Unavailable):
            return found
        if not found.records:
            return Stored(customer, 0, 0, {})
        return _stored(found.records[0])

    async def read_all(self) -> tuple[Stored | BadDocument, ...] | Unavailable:
        """The templates of all customers."""
        found = await self._kv.get_prefix(keys.TEMPLATES)
        if isinstance(found, Unavailable):
            return found
        return tuple(_stored(record) for record in found.records)

    async def trail(
        self, customer: str | None
    ) -> tuple[AuditRecord | Unreadable, ...] | Unavailable:
        """The audit records of one customer or of all, oldest first."""
        prefix = keys.AUDIT if customer is None else keys.audit_prefix(customer)
        found = await self._kv.get_prefix(prefix)
        if isinstance(found, Unavailable):
            return found
        return tuple(audit.decode(record.value) for record in found.records)

    async def apply(self, draft: Draft, author: Author, pause: Pause) -> ApplyOutcome:
        """Put a template in force.

        A draft that names a version says which one it was edited from; if that isn't
        the present one, nothing is written. ``pause(attempt)`` is awaited before an
        attempt is repeated.
        """
        everything = await self.read_all()
        if isinstance(everything, Unavailable):
            return everything
        taken = _key_taken(draft, everything)
        if taken is not None:
            return taken
        customer = draft.template.customer
        current = _of_customer(customer, everything)
        if isinstance(current, BadDocument):
            return current
        base = draft.template.version or current.version
        if base != current.version:
            return await self._lost(customer, base, current.version)
        found = differences(current.document, draft.written)
        if not found and current.version:
            return Unchanged(current.version)
        attempt = _Attempt(draft, author, current, found)
        return await self._carry_out(attempt, pause)

    async def _carry_out(self, attempt: "_Attempt", pause: Pause) -> ApplyOutcome:
        unsettled: Unknown | Unavailable | None = None
        for number in range(ATTEMPTS):
            if number:
                await pause(number)
            outcome = await self._kv.transact(attempt.compares, attempt.writes)
            match outcome:
                case Committed(revision):
                    return Applied(attempt.record, revision)
                case Unavailable() if unsettled is None:
                    return outcome
                case Unavailable() | Unknown():
                    unsettled = outcome
            settled = await self._settle(attempt)
            if settled is not None:
                return settled
        detail = unsettled.detail if unsettled else "the answers contradict each other"
        record = attempt.record
        return OutcomeUnknown(record.customer, record.version, record.token, detail)

    async def _settle(self, attempt: "_Attempt") -> ApplyOutcome | None:
        """Find out who wrote the version that this attempt is for; None if nobody.

        The template is read before the record, never after. A write on its way may
        land between the two reads: read in the other order, the record would be
        missing and the template changed, and this writer's own success would be
        reported as someone else's. In this order a template that has changed means
        that the record, written in the same transaction, is there to be read.
        """
        record = attempt.record
        current = await self.read(record.customer)
        key = keys.audit_key(record.customer, record.version)
        found = await self._kv.get(key)
        if isinstance(current, Unavailable) or isinstance(found, Unavailable):
            return None
        if found.records:
            winner = audit.decode(found.records[0].value)
            if isinstance(winner, AuditRecord) and winner.token == record.token:
                return Applied(record, found.records[0].mod_revision)
            return await self._lost(record.customer, record.previous_version, None)
        if isinstance(current, BadDocument):
            return current
        if current.mod_revision != attempt.current.mod_revision:
            # Written past the trail, by hand; this attempt can't win any more.
            base = record.previous_version
            return await self._lost(record.customer, base, current.version)
        return None

    async def _lost(
        self, customer: str, base: int, current_version: int | None
    ) -> ApplyOutcome:
        trail = await self.trail(customer)
        if isinstance(trail, Unavailable):
            trail = ()
        later = [
            record
            for record in trail
            if isinstance(record, AuditRecord) and record.version > base
        ]
        if current_version is None:
            current_version = max((record.version for record in later), default=base)
        shown = tuple(later[-MOST_SHOWN_RECORDS:])
        return LostRace(customer, base, current_version, shown)


class _Attempt:
    """One transaction, built once, so that sending it again sends the very same."""

    def __init__(
        self,
        draft: Draft,
        author: Author,
        current: Stored,
        found: tuple[Difference, ...],
    ) -> None:
        customer = draft.template.customer
        version = current.version + 1
        listed, more = audit.summarise(found)
        self.current = current
        self.record = AuditRecord(
            customer=customer,
            version=version,
            previous_version=current.version,
            who=author.who,
            when=author.when,
            reason=author.reason,
            token=author.token,
            differences=listed,
            more=more,
        )
        template_key = keys.template_key(customer)
        audit_key = keys.audit_key(customer, version)
        self.compares = [
            Compare(template_key, current.mod_revision),
            Compare(audit_key, 0),
        ]
        self.writes: list[Put | Delete] = [
            Put(template_key, draft.stored(version)),
            Put(audit_key, self.record.encode()),
        ]
        if version > audit.KEPT:
            oldest = keys.audit_key(customer, version - audit.KEPT)
            self.writes.append(Delete(oldest))


def _stored(record: Record) -> Stored | BadDocument:
    try:
        document = json.loads(record.value)
        version = int(document["version"])
    except (ValueError, TypeError, KeyError) as exc:
        return BadDocument(record.key, f"{type(exc).__name__}: {exc}")
    customer = record.key.removeprefix(keys.TEMPLATES)
    return Stored(customer, version, record.mod_revision, document)


def _of_customer(
    customer: str, everything: tuple[Stored | BadDocument, ...]
) -> Stored | BadDocument:
    key = keys.template_key(customer)
    for item in everything:
        if isinstance(item, Stored) and item.customer == customer:
            return item
        if isinstance(item, BadDocument) and item.key == key:
            return item
    return Stored(customer, 0, 0, {})


def _key_taken(
    draft: Draft, everything: tuple[Stored | BadDocument, ...]
) -> KeyTaken | None:
    """A key in two customers' templates would let one act in the other's name."""
    owners = {}
    for item in everything:
        if isinstance(item, Stored) and item.customer != draft.template.customer:
            for name, caller in item.document.get("callers", {}).items():
                owners[caller.get("key_sha256")] = (item.customer, name)
    for name, policy in draft.template.callers.items():
        if policy.key_sha256 in owners:
            return KeyTaken(name, *owners[policy.key_sha256])
    return None
