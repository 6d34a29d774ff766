"""Which agents may serve a request, best first.

Joins who holds the slots with how those members stand and what this entry knows of
their load; the order itself is the core's (:func:`bambootiller_core.routing.rank`).
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Protocol

from bambootiller.entry.affinity import PrefixAffinity
from bambootiller.entry.figures import FiguresBoard
from bambootiller.entry.patience import Patience
from bambootiller.entry.places import ServicePlaces
from bambootiller.entry.relay.calls import Call
from bambootiller.entry.relay.messages import Revisions
from bambootiller_core.membership import MemberView, Status
from bambootiller_core.routing import UNKNOWN_WAIT_S, Candidate, rank
from bambootiller_core.slots import SlotTable
from bambootiller_core.template import Template
from bambootiller_core.types import ModelKey, ModelTarget, Request, Role, ServiceTarget


class Members(Protocol):
    """As much of the membership as routing reads."""

    def members(self, role: Role | None = None) -> tuple[MemberView, ...]: ...

    def view(self, instance: str) -> MemberView | None: ...

    def probe_soon(self, instance: str) -> None: ...


class Tables(Protocol):
    """As much of the catalogue as routing reads."""

    def slots(self, key: ModelKey) -> SlotTable | None: ...

    def slots_revision(self, key: ModelKey) -> int: ...

    def template(self, customer: str) -> Template | None: ...

    def template_revision(self, customer: str) -> int: ...


class Routing:
    """The places for each call, and what is learned from sending calls there."""

    def __init__(
        self, zone: str, members: Members, tables: Tables, rng: random.Random
    ) -> None:
        self.board = FiguresBoard()
        self.affinity = PrefixAffinity()
        self.patience = Patience()
        self.places = ServicePlaces()
        for view in members.members(Role.AGENT):
            self.places.noted(view)
        self._zone = zone
        self._members = members
        self._tables = tables
        self._rng = rng

    def ranked(self, now: float, call: Call) -> list[str]:
        """The agents to try, best first; leaving and dead ones are never among them."""
        if isinstance(call.request.target, ModelTarget):
            return self._ranked(now, call, self._holders(call.key))
        names = self.places.of(now, call.request.target.service)
        return self._ranked(now, call, names)

    def address(self, instance: str) -> str | None:
        """Where the agent's RPC server listens, or None if it is gone by now."""
        view = self._members.view(instance)
        return None if view is None else view.member.address

    def revisions(self, call: Call) -> Revisions:
        """The revisions that a choice made now rests on."""
        return Revisions(
            template=self._tables.template_revision(call.request.customer),
            slots=self._tables.slots_revision(call.key),
        )

    def broken(self, now: float, instance: str, key: ModelKey) -> None:
        """An attempt at an agent broke off; the membership looks at it next."""
        self.board.failed(now, instance, key)
        self._members.probe_soon(instance)

    def service_absent(self, now: float, instance: str, call: Call) -> None:
        """An agent said that it doesn't run the service that was called there."""
        if isinstance(call.request.target, ServiceTarget):
            self.places.absent(now, instance, call.request.target.service)

    def forget(self, instance: str) -> None:
        """An agent is dead."""
        self.board.forget(instance)

    def _holders(self, key: ModelKey) -> list[str]:
        table = self._tables.slots(key)
        if table is None:
            return []
        # A retiring slot's replica is about to be unloaded.
        return [
            slot.holder for slot in table.slots if slot.holder and not slot.retiring
        ]

    def _ranked(self, now: float, call: Call, names: Iterable[str]) -> list[str]:
        usable = self._usable(now, call, names)
        order = rank(call.request, self._zone, usable, self._rng)
        return [item.instance for item in order]

    def _usable(self, now: float, call: Call, names: Iterable[str]) -> list[Candidate]:
        found = (self._candidate(now, call.request, call.key, name) for name in names)
        return [item for item in found if item is not None]

    def _candidate(
        self, now: float, req: Request, key: ModelKey, name: str
    ) -> Candidate | None:
        view = self._members.view(name)
        if view is None or view.status in (Status.LEAVING, Status.DEAD):
            return None
        if not self.board.allows(now, name):
            return None
        known = self.board.known(name, key)
        return Candidate(
            instance=name,
            zone=view.member.zone,
            status=view.status,
            figures=known.figures,
            figures_age=max(0.0, now - known.at),
            affinity=self.affinity.of(now, req.prefix, name),
            in_flight=known.sent_since,
            load_s=self._load_s(key),
        )

    def _load_s(self, key: ModelKey) -> float:
        """What a load takes by the template, at a holder that was never called.

        Without it such a holder would seem to take ten seconds whatever its model: a
        burst on a model that loads in two would queue at the first replica, and one on
        a model that takes a minute would load a second replica for a short queue.
        """
        template = self._tables.template(key.customer)
        policy = None if template is None else template.models.get(key.model)
        return UNKNOWN_WAIT_S if policy is None else policy.load_ms / 1000.0
