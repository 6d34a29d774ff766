"""What a model's slot table needs: the pure half of the entries' slot keeping.

Given the table in force, the template's cap and the evidence about holders, the table
after repair is computed here; where the freed slots go is decided elsewhere, from
figures that agents report, and applied with :func:`place`. All of it becomes one
compare-and-swap write, so that no state in between is ever visible."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from bambootiller_core import slots
from bambootiller_core.slots import InstanceGone, SlotTable
from bambootiller_core.types import ModelKey

IsGone = Callable[[str], bool]


@dataclass(frozen=True, slots=True)
class Repaired:
    """A table with its cap, its retired slots and its lost holders put right.

    ``changed`` is false if the table was right already; ``empty`` are the numbers of
    the slots that nobody holds; ``lost`` are the holders whose slots were vacated."""

    table: SlotTable
    changed: bool
    empty: tuple[int, ...]
    lost: tuple[str, ...]


def repair(
    key: ModelKey,
    table: SlotTable | None,
    cap: int,
    version: int,
    is_gone: IsGone,
    token: str,
) -> Repaired | None:
    """The table after repair, or None if there is none and none is wanted.

    Only evidence moves a slot: ``is_gone`` must be true of instances that the platform
    has listed and lists no more. A holder that merely doesn't answer keeps its slot,
    since it may be paused and act on it the moment it wakes.
    """
    if table is None:
        if cap == 0:
            return None
        created = slots.create(key, cap, version, {}, token)
        return Repaired(created, True, slots.placeable(created), ())
    after, lost = _without_lost_holders(table, is_gone, token)
    if _cap_is_stale(after, cap, version):
        after = slots.reconcile_cap(after, cap, version, token)
    return Repaired(after, after != table, slots.placeable(after), lost)


def place(
    table: SlotTable,
    chosen: Mapping[int, str],
    token: str,
    regions: Mapping[str, str] | None = None,
) -> SlotTable:
    """The table with each slot number in ``chosen`` given to its instance.

    ``regions`` are the instances' regions, as far as they are known.
    """
    for number, instance in sorted(chosen.items()):
        region = (regions or {}).get(instance, "")
        table = slots.assign(table, number, instance, token, region)
    return table


def _cap_is_stale(table: SlotTable, cap: int, version: int) -> bool:
    # An entry that holds an older template than the table was last brought in line with
    # must not undo that: the cap would go back to a value that operators have replaced.
    if version < table.template_version:
        return False
    return table.cap != cap


def _without_lost_holders(
    table: SlotTable, is_gone: IsGone, token: str
) -> tuple[SlotTable, tuple[str, ...]]:
    lost = []
    for slot in table.slots:
        if not slot.holder or not is_gone(slot.holder):
            continue
        lost.append(slot.holder)
        evidence = InstanceGone(slot.holder)
        if slot.retiring:
            table = slots.remove_retired(table, slot.number, evidence, token)
        else:
            table = slots.vacate(table, slot.number, evidence, token)
    return table, tuple(lost)
