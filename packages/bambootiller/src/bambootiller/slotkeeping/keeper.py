"""The component that brings slot tables in line with templates and with the fleet."""

from __future__ import annotations

import secrets
from collections import Counter
from collections.abc import Iterable
from typing import TYPE_CHECKING

from bambootiller import logs
from bambootiller.slotkeeping.surveys import survey
from bambootiller.slotkeeping.worklist import Worklist
from bambootiller.slotkeeping.writer import TableWriter, Written
from bambootiller_core import placement
from bambootiller_core.membership import MemberView, Status
from bambootiller_core.repair import Repaired, place, repair
from bambootiller_core.slots import SlotTable
from bambootiller_core.template import ModelPolicy, Template
from bambootiller_core.types import Member, ModelKey, Role

if TYPE_CHECKING:
    from bambootiller.app import Application

TICK = 0.25
SWEEP_PERIOD = 30.0
RETRY_DELAY = 1.0
#: Models marked by one tick of the sweep.
SWEEP_SLICE = 32
#: Models examined in one tick; bounds the burst of surveys after a zone is lost.
BATCH = 16
#: Agents asked for one placement.
SAMPLE = 8

log = logs.logger("slotkeeping")


class SlotKeeper:
    """Creates, repairs and places the slots of the models that this entry ranks for."""

    name = "slot keeping"

    def __init__(self, app: Application) -> None:
        self._app = app
        self._work = Worklist(app.instance)
        self._writer = TableWriter(app)
        self._busy: set[ModelKey] = set()
        self._to_sweep: list[ModelKey] = []
        self._draining = False

    async def prepare(self) -> None:
        """Nothing is held before the start."""

    async def start(self) -> None:
        """Subscribe to what changes tables' needs, and look at every model once."""
        app = self._app
        app.catalogue.subscribe(self._template_changed, self._table_changed)
        app.membership.subscribe(self._member_changed)
        app.timers.every("slot keeping", TICK, app.now(), self._tick)
        app.timers.every("slot sweep", SWEEP_PERIOD, app.now(), self._sweep)

    async def drain(self, seconds: float) -> None:
        """Start no more changes; one under way is settled by whoever acts next."""
        self._draining = True

    async def stop(self) -> None:
        """Nothing to release."""

    def _entries(self) -> list[str]:
        views = self._app.membership.members(Role.ENTRY)
        return [view.member.instance for view in views if view.status is Status.ALIVE]

    def _mark_all(self, keys: Iterable[ModelKey]) -> None:
        now = self._app.now()
        entries = self._entries()
        for key in keys:
            self._work.mark(now, key, entries)

    def _template_changed(self, template: Template) -> None:
        """Mark the models whose tables aren't in line with the template any more.

        A change of one model of many must not cost a look at all of them.
        """
        catalogue = self._app.catalogue
        stale = [
            key
            for name, policy in template.models.items()
            if _differs(
                catalogue.slots(key := ModelKey(template.customer, name)), policy
            )
        ]
        removed = [
            table.key
            for table in catalogue.tables()
            if table.key.customer == template.customer
            and table.key.model not in template.models
        ]
        self._mark_all(stale + removed)

    def _table_changed(self, table: SlotTable) -> None:
        self._mark_all([table.key])

    def _member_changed(self, view: MemberView) -> None:
        if view.status is not Status.DEAD:
            return
        held = self._held_by(view.member.instance)
        if held:
            # Its slots can move as soon as the list says that it went. At thousands of
            # instances the list is polled every few minutes; this is worth a poll.
            self._app.instances.poll_soon()
            self._mark_all(held)

    def _held_by(self, instance: str) -> list[ModelKey]:
        tables = self._app.catalogue.tables()
        return [table.key for table in tables if instance in table.holders()]

    def _sweep(self, now: float) -> None:
        self._to_sweep = sorted(self._all_keys())

    def _sweep_some(self) -> None:
        """Mark a slice of the sweep, so that no tick holds up the tokens for long."""
        slice_, self._to_sweep = (
            self._to_sweep[:SWEEP_SLICE],
            self._to_sweep[SWEEP_SLICE:],
        )
        self._mark_all(slice_)

    def _all_keys(self) -> set[ModelKey]:
        catalogue = self._app.catalogue
        keys = {table.key for table in catalogue.tables()}
        for customer in catalogue.customers():
            models = catalogue.template(customer).models
            keys.update(ModelKey(customer, model) for model in models)
        return keys

    def _tick(self, now: float) -> None:
        if self._draining:
            return
        self._mark_gone_holders()
        self._sweep_some()
        for key in self._work.take(now, BATCH):
            if key not in self._busy:
                self._busy.add(key)
                self._app.spawn(f"slots {key}", self._look(key))

    def _mark_gone_holders(self) -> None:
        for instance in self._app.instances.take_gone():
            self._mark_all(self._held_by(instance))

    async def _look(self, key: ModelKey) -> None:
        try:
            if not await self._bring_in_line(key):
                self._work.postpone(key, self._app.now() + RETRY_DELAY)
        finally:
            self._busy.discard(key)

    async def _bring_in_line(self, key: ModelKey) -> bool:
        """One round for one model; False if something is left to do."""
        basis = self._writer.basis(key)
        if basis is None:
            return True
        template, table = basis.template, basis.table
        policy = template.models.get(key.model)
        cap = policy.replicas if policy is not None else 0
        token = secrets.token_hex(8)
        regions = _regions_of(table)

        def is_gone(holder: str) -> bool:
            return self._is_gone(holder, regions.get(holder, ""))

        fixed = repair(key, table, cap, template.version, is_gone, token)
        if fixed is None:
            return True
        chosen = await self._choose(key, policy, fixed)
        if not fixed.changed and not chosen:
            return not fixed.empty
        after = place(fixed.table, chosen, token, self._member_regions(chosen))
        written = await self._writer.write(basis, after)
        self._explain(key, fixed, chosen, written)
        return written is Written.IN_FORCE and len(chosen) == len(fixed.empty)

    def _is_gone(self, instance: str, region: str = "") -> bool:
        """Whether a holder can't come back: the platform and the probes agree.

        What goes wrong with the list alone: a list that drops a running instance by
        mistake would let its slots move while its replicas are loaded. The holder shows
        by answering probes. A dead member alone is no evidence, it may be paused.

        While regions have lost each other, all members of the other one are silent, and
        the list may show this side only. An entry that starts then has never met them;
        ``region``, which stands in the slot, tells it that the list says nothing.
        """
        instances = self._app.instances
        status = self._app.membership.status_of(instance)
        if status not in (None, Status.DEAD):
            return False
        if instances.is_gone(instance):
            return not region or instances.shows_region(region)
        # The list lags, so the poll made at the death may have come too early.
        instances.poll_soon()
        return False

    def _member_regions(self, chosen: dict[int, str]) -> dict[str, str]:
        views = (self._app.membership.view(name) for name in chosen.values())
        return {
            view.member.instance: view.member.region
            for view in views
            if view is not None
        }

    async def _choose(
        self, key: ModelKey, policy: ModelPolicy | None, fixed: Repaired
    ) -> dict[int, str]:
        """An instance for each empty slot, as far as suitable ones answer."""
        if policy is None or not fixed.empty:
            return {}
        holders = {slot.holder for slot in fixed.table.slots if slot.holder}
        agents = self._free_agents(holders)
        sample = placement.candidates(key, list(agents), SAMPLE)
        figures = await survey(
            self._app.channels, key, [agents[name] for name in sample]
        )
        zones = self._zones_of(holders)
        chosen: dict[int, str] = {}
        for number in fixed.empty:
            left = [one for one in figures if one.instance not in chosen.values()]
            order = placement.rank(policy, left, zones)
            if not order:
                break
            chosen[number] = order[0]
            zones[agents[order[0]].zone] += 1
        return chosen

    def _free_agents(self, holders: set[str]) -> dict[str, Member]:
        """The live agents that may get a slot: those that the platform lists too.

        A holder that was never listed could not be seen to disappear from the list, and
        its slot would be lost for good if its instance were reclaimed early.
        """
        views = self._app.membership.members(Role.AGENT)
        listed = self._app.instances.listed()
        return {
            view.member.instance: view.member
            for view in views
            if view.status is Status.ALIVE
            and view.member.instance not in holders
            and view.member.instance in listed
        }

    def _zones_of(self, holders: set[str]) -> Counter[str]:
        views = self._app.membership.members(Role.AGENT)
        return Counter(
            view.member.zone for view in views if view.member.instance in holders
        )

    def _explain(
        self, key: ModelKey, fixed: Repaired, chosen: dict[int, str], written: Written
    ) -> None:
        app = self._app
        app.decisions.record(
            app.now(),
            f"model/{key}",
            "slots",
            written.value,
            _reason(fixed, chosen),
            cap=fixed.table.cap,
            template_version=fixed.table.template_version,
            placed=", ".join(f"{num}:{who}" for num, who in sorted(chosen.items())),
            lost=", ".join(fixed.lost),
            empty=len(fixed.empty) - len(chosen),
        )
        app.metrics.incr(f"slots.write.{written.value}")


def _regions_of(table: SlotTable | None) -> dict[str, str]:
    held = table.slots if table is not None else ()
    return {slot.holder: slot.region for slot in held if slot.holder}


def _differs(table: SlotTable | None, policy: ModelPolicy) -> bool:
    return table is None or table.cap != policy.replicas


def _reason(fixed: Repaired, chosen: dict[int, str]) -> str:
    if fixed.lost:
        return "the platform lists a holder no more"
    if fixed.changed:
        return "the template's cap changed"
    return "a slot had no holder" if chosen else "no agent has room"
