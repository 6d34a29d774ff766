"""Slots: the right to load one replica of a model, held by one backend server at a
time.

A template that decides N replicas of a model makes N slots. They stand in one value of
the key-value service, the model's slot table, which is changed only by
compare-and-swap. Only the instance that holds a slot may load the model, and a slot
moves only on evidence that its holder can't load any more; so no more replicas are ever
loaded than slots exist, whoever pauses, dies or decides at the same time.

All changes here are pure: they take a table and return a new one, marked with the
writer's token. A writer whose answer was lost reads the value back and asks
:func:`settle`.

Example::

    table = create(key, cap=2, version=7, placements={0: "i-1"}, token="entry-1/93")
    table = assign(table, 1, "i-2", "entry-1/94")
    table = vacate(table, 0, GivenBack("i-1"), "i-1/5")
"""

from __future__ import annotations

import itertools
from collections.abc import Mapping
from dataclasses import dataclass, replace

from bambootiller_core._slot_codec import Malformed, decode_fields, encode_fields
from bambootiller_core._slot_evidence import (
    Evidence,
    FenceConfirmed,
    GivenBack,
    InstanceGone,
)
from bambootiller_core.documents import SLOTS_PREFIX
from bambootiller_core.invariants import ensure
from bambootiller_core.types import ModelKey

__all__ = [
    "Evidence",
    "FenceConfirmed",
    "GivenBack",
    "InstanceGone",
    "Malformed",
    "NoEffect",
    "Settled",
    "Slot",
    "SlotTable",
    "Superseded",
    "TookEffect",
    "assign",
    "confirm",
    "create",
    "document_key",
    "placeable",
    "reconcile_cap",
    "remove_retired",
    "settle",
    "vacate",
]

#: Tokens of earlier writers that a table carries, so that a writer can tell a write
#: that was replaced soon after it from one that never took effect.
HISTORY = 8


@dataclass(frozen=True, slots=True)
class Slot:
    """One slot. ``holder`` is an instance or "" for nobody.

    ``fence`` is the fencing number of the latest assignment; orders carry it. A
    ``retiring`` slot may not be loaded any more and goes once its holder has unloaded.
    ``region`` is the holder's, "" if it isn't known: who has never met the holder can
    tell by it whether a list without the holder says anything about it.
    """

    number: int
    holder: str = ""
    fence: int = 0
    retiring: bool = False
    region: str = ""


@dataclass(frozen=True, slots=True)
class SlotTable:
    """All slots of one model. ``writer`` is the token of the write that made this
    value.

    ``fence`` is the highest fencing number ever given for this model; it outlives the
    slots, so that a number removed and made anew never falls back behind an engine's
    memory. ``history`` are the tokens of the writes before, newest first.
    """

    key: ModelKey
    template_version: int
    slots: tuple[Slot, ...] = ()
    writer: str = ""
    cap: int = 0
    fence: int = 0
    history: tuple[str, ...] = ()

    def encode(self) -> bytes:
        """The value as it is stored: JSON with a format version."""
        return encode_fields(
            key=self.key,
            template_version=self.template_version,
            writer=self.writer,
            cap=self.cap,
            fence=self.fence,
            history=self.history,
            slots=[
                (s.number, s.holder, s.fence, s.retiring, s.region) for s in self.slots
            ],
        )

    @classmethod
    def decode(cls, value: bytes) -> SlotTable | Malformed:
        """Read a stored value; anything that breaks a table's rules is Malformed."""
        fields = decode_fields(value)
        if isinstance(fields, Malformed):
            return fields
        slots = tuple(Slot(*row) for row in fields.slots)
        table = cls(
            key=fields.key,
            template_version=fields.template_version,
            slots=slots,
            writer=fields.writer,
            cap=fields.cap,
            fence=fields.fence,
            history=fields.history,
        )
        fault = _fault(table)
        return Malformed(fault) if fault else table

    def holders(self) -> tuple[str, ...]:
        """The instances that hold a slot, in the order of the slots."""
        return tuple(slot.holder for slot in self.slots if slot.holder)

    def slot_of(self, instance: str) -> Slot | None:
        """The slot that ``instance`` holds, or None."""
        for slot in self.slots:
            if slot.holder == instance and instance:
                return slot
        return None

    def loadable(self, instance: str) -> bool:
        """Whether ``instance`` may load: it holds a slot that isn't retiring."""
        slot = self.slot_of(instance)
        return slot is not None and not slot.retiring


def document_key(key: ModelKey) -> str:
    """Where a model's slot table is stored."""
    return f"{SLOTS_PREFIX}{key.customer}/{key.model}"


def create(
    key: ModelKey, cap: int, version: int, placements: Mapping[int, str], token: str
) -> SlotTable:
    """A new table of ``cap`` slots; ``placements`` gives slot numbers to instances."""
    slots = tuple(Slot(number) for number in range(cap))
    table = SlotTable(key, version, slots, token, cap)
    for number, instance in sorted(placements.items()):
        table = assign(table, number, instance, token)
    return table


def reconcile_cap(table: SlotTable, cap: int, version: int, token: str) -> SlotTable:
    """Bring the number of slots in line with a template's cap.

    A raised cap first takes back slots that were to retire, at a new fence, then adds
    empty ones. A lowered cap removes empty slots at once and marks held ones as
    retiring, the highest numbers first. A template older than the table's leaves the
    table as it is, so that a process that lags behind can't undo an operator's change.
    """
    if version < table.template_version:
        return table
    surplus = sum(not slot.retiring for slot in table.slots) - cap
    changed = replace(table, cap=cap, template_version=version)
    if surplus > 0:
        changed = _with_fewer(changed, surplus)
    if surplus < 0:
        changed = _with_more(changed, -surplus)
    return _written(changed, token)


def placeable(table: SlotTable) -> tuple[int, ...]:
    """The numbers of the empty slots that may be given to an instance now.

    A retiring slot counts until its holder has confirmed the unload. Otherwise, after a
    cap was lowered from 2 to 1, a slot that was given back could be loaded elsewhere
    while the retiring replica still is: two replicas under a cap of one.
    """
    room = max(0, table.cap - len(table.holders()))
    empty = tuple(slot.number for slot in table.slots if not slot.holder)
    return empty[:room]


def assign(
    table: SlotTable, number: int, instance: str, token: str, region: str = ""
) -> SlotTable:
    """Give an empty slot to ``instance``, at a fence above all earlier ones.

    Which slots may be given away at all is for :func:`placeable` to say, asked on the
    table after it was brought in line with the template in force.
    """
    slot = _numbered(table, number)
    ensure(
        bool(instance) and not slot.holder and not slot.retiring,
        "slot-assigned-only-when-empty",
        f"{table.key} slot {slot} to {instance!r}",
    )
    ensure(
        table.slot_of(instance) is None,
        "one-slot-per-holder",
        f"{table.key}: {instance} holds {table.slot_of(instance)}, slot {number} too",
    )
    fence = max(table.fence, slot.fence) + 1
    given = replace(slot, holder=instance, fence=fence, region=region)
    return _written(replace(_with(table, given), fence=fence), token)


def confirm(table: SlotTable, instance: str, token: str) -> SlotTable:
    """Mark the table as written by a new process of a holder, and change nothing else.

    A process that died may have left a write behind that gives its slot back and hasn't
    arrived yet. It would take the slot away long after the next process on the same
    backend server has loaded the model, and a second replica would be loaded elsewhere.
    Once this write stands, the late one fails by its compare.
    """
    ensure(
        table.slot_of(instance) is not None,
        "only-holders-confirm",
        f"{table.key}: {instance} holds no slot",
    )
    return _written(table, token)


def vacate(table: SlotTable, number: int, evidence: Evidence, token: str) -> SlotTable:
    """Take a slot from its holder, on evidence that the holder can't load any more.

    A slot that was retiring is removed.
    """
    slot = _numbered(table, number)
    if slot.retiring:
        return remove_retired(table, number, evidence, token)
    _ensure_evidence(table, slot, evidence)
    vacated = _with(table, replace(slot, holder="", region=""))
    return _written(_above(vacated, evidence), token)


def remove_retired(
    table: SlotTable, number: int, evidence: Evidence, token: str
) -> SlotTable:
    """Remove a retiring slot, on evidence that its holder can't load any more."""
    slot = _numbered(table, number)
    ensure(
        slot.retiring,
        "only-retiring-slots-are-removed",
        f"{table.key} slot {slot} isn't retiring",
    )
    _ensure_evidence(table, slot, evidence)
    slots = tuple(other for other in table.slots if other.number != number)
    return _written(_above(replace(table, slots=slots), evidence), token)


@dataclass(frozen=True, slots=True)
class TookEffect:
    """The written value stands."""


@dataclass(frozen=True, slots=True)
class NoEffect:
    """The write hasn't taken effect. Go on from the value read: a write still on its
    way then fails by its compare, or makes the next one fail by its own."""


@dataclass(frozen=True, slots=True)
class Superseded:
    """The write took effect and has been replaced since; ``table`` is what stands."""

    table: SlotTable


Settled = TookEffect | NoEffect | Superseded


def settle(written: SlotTable, read_back: SlotTable | None) -> Settled:
    """What became of a write whose answer was lost, by the value read afterwards.

    Only the writer's token tells: two writers may well write equal tables, and the one
    that lost has to know, since only the winner's further steps rest on it.
    """
    if read_back is None:
        return NoEffect()
    if read_back.writer == written.writer:
        return TookEffect()
    if written.writer in read_back.history:
        return Superseded(read_back)
    return NoEffect()


def _ensure_evidence(table: SlotTable, slot: Slot, evidence: Evidence) -> None:
    # A lapsed lease or an unanswered probe is no evidence: a paused holder may wake and
    # send the order that it had decided on. The cap would be broken, which shows as two
    # engines that report the model as loaded under one slot. So nothing but these types
    # moves a slot, and each must be about the present holder.
    ensure(
        isinstance(evidence, GivenBack | InstanceGone | FenceConfirmed)
        and bool(slot.holder)
        and evidence.instance == slot.holder,
        "slot-moves-on-evidence",
        f"{table.key} slot {slot} by {evidence}",
    )
    if isinstance(evidence, FenceConfirmed):
        ensure(
            evidence.fence > slot.fence,
            "slot-moves-on-evidence",
            f"{table.key} slot {slot}: fence {evidence.fence} isn't above its own",
        )


def _above(table: SlotTable, evidence: Evidence) -> SlotTable:
    if not isinstance(evidence, FenceConfirmed):
        return table
    return replace(table, fence=max(table.fence, evidence.fence))


def _numbered(table: SlotTable, number: int) -> Slot:
    for slot in table.slots:
        if slot.number == number:
            return slot
    ensure(False, "slot-exists", f"{table.key} has no slot {number}")
    raise AssertionError


def _with(table: SlotTable, changed: Slot) -> SlotTable:
    slots = tuple(
        changed if slot.number == changed.number else slot for slot in table.slots
    )
    return replace(table, slots=slots)


def _written(table: SlotTable, token: str) -> SlotTable:
    if token == table.writer:
        return _checked(table)
    earlier = (table.writer, *table.history) if table.writer else table.history
    return _checked(replace(table, writer=token, history=earlier[:HISTORY]))


def _checked(table: SlotTable) -> SlotTable:
    fault = _fault(table)
    ensure(not fault, "slot-table-is-sound", f"{table.key}: {fault}")
    return table


def _with_fewer(table: SlotTable, surplus: int) -> SlotTable:
    live = [slot for slot in table.slots if not slot.retiring]
    live.sort(key=lambda slot: (bool(slot.holder), -slot.number))
    chosen = {slot.number for slot in live[:surplus]}
    slots = (
        replace(slot, retiring=True) if slot.number in chosen else slot
        for slot in table.slots
    )
    kept = tuple(slot for slot in slots if slot.holder or not slot.retiring)
    return replace(table, slots=kept)


def _with_more(table: SlotTable, missing: int) -> SlotTable:
    # Retiring slots come back first: their replicas may still be loaded, and new slots
    # beside them would let more replicas be loaded than the template ever decided.
    retiring = [slot for slot in table.slots if slot.retiring][:missing]
    for slot in retiring:
        # At a new fence: the holder may have offered the retiring slot back already.
        # If the cap were lowered once more, that offer would remove the slot again,
        # though the holder has loaded the model since it saw the slot come back.
        fence = table.fence + 1
        table = _with(table, replace(slot, retiring=False, fence=fence))
        table = replace(table, fence=fence)
    taken = {slot.number for slot in table.slots}
    free = (number for number in itertools.count() if number not in taken)
    added = tuple(Slot(next(free)) for _ in range(missing - len(retiring)))
    slots = sorted(table.slots + added, key=lambda slot: slot.number)
    return replace(table, slots=tuple(slots))


def _fault(table: SlotTable) -> str:
    """What breaks the rules of a table, or an empty string."""
    numbers = [slot.number for slot in table.slots]
    if len(set(numbers)) != len(numbers):
        return f"slot numbers {numbers} repeat"
    holders = table.holders()
    if len(set(holders)) != len(holders):
        return f"holders {holders} repeat"
    live = sum(not slot.retiring for slot in table.slots)
    if live > table.cap:
        return f"{live} slots that aren't retiring, above the cap of {table.cap}"
    if any(slot.fence > table.fence for slot in table.slots):
        return f"a slot's fence is above the table's, {table.fence}"
    return ""
