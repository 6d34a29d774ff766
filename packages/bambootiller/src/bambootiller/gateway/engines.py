"""An entry's view of the engines: streams to their agents, plans and waiting calls."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from bambootiller.app import Application
from bambootiller.gateway import wire
from bambootiller.gateway.engine_words import AgentSaid, Told
from bambootiller.gateway.eventlog import EventLog
from bambootiller.gateway.exchange import TELL_S, Exchanger, Outgoing, Update
from bambootiller.gateway.knowledge import Knowledge
from bambootiller.gateway.plan_clock import PlanClock, pause_s
from bambootiller.rpc import bambootiller_pb2 as pb
from bambootiller_core.gateway.collecting import (
    Totals,
    collectors,
    greater,
    planners,
    seen_to_by,
)
from bambootiller_core.gateway.config import ServiceSpec
from bambootiller_core.gateway.demand import Demand
from bambootiller_core.gateway.fleet import AGENT_SILENT_S, Backend
from bambootiller_core.gateway.log_lines import BackendRemoved
from bambootiller_core.gateway.order_messages import WAITED_FOR, Wish
from bambootiller_core.gateway.places import copies_at
from bambootiller_core.gateway.relaying import tells_at_once
from bambootiller_core.gateway.residency import PlannedLoad, Planner
from bambootiller_core.gateway.store_speeds import StoreSpeeds, left_by
from bambootiller_core.gateway.wakes import wakes_calls
from bambootiller_core.gateway.want import NO_WANT, Want

#: A plan no older than this is of this moment, in pauses between two plans: a call that
#: looks at it would otherwise be quicker than the next plan.
FRESH_PAUSES = 2
#: How often streams to agents are opened for new engines, and closed for gone ones.
#: Seconds.
REVIEW_S = 0.25
#: The urgency of what is asked for ahead of demand.
AHEAD = 5


@dataclass(slots=True)
class _Link:
    """The stream to the agent beside one engine."""

    task: asyncio.Task
    instance: str
    wishes: dict[tuple[str, str], Wish] = field(default_factory=dict)


class Engines:
    """Keeps streams to all agents, and asks them for loads.

    Calls that need a model ask :meth:`plan_for` when it can be used, and say while they
    wait, so that the plan counts them.
    """

    def __init__(
        self,
        app: Application,
        knowledge: Knowledge,
        exchanger: Exchanger,
        events: EventLog,
        agent_port: int,
    ) -> None:
        self._app = app
        self._knowledge = knowledge
        self._exchanger = exchanger
        self._events = events
        self._agent_port = agent_port
        self._links: dict[str, _Link] = {}
        self._demand: dict[str, Demand] = {}
        self._plans: dict[str, dict[str, PlannedLoad]] = {}
        self.entries: tuple[str, ...] = ()
        self._totals = Totals()
        self._collectors: dict[str, list[str]] = {}
        self._planned_for: dict[str, dict[str, Want]] = {}
        self._planned_at = float("-inf")
        self._own: dict[str, dict[str, Want]] = {}
        self._speeds = StoreSpeeds()
        self._clock = PlanClock(
            self._plan_due,
            self._plan_awaited,
            self._any_waits,
            lambda: not all(demand.is_idle for demand in self._demand.values()),
            lambda: knowledge.changed.count,
        )
        self._reached: list[tuple[str, bool, bool]] = []

    def start(self) -> None:
        """Begin to review and to plan."""
        now = self._app.now()
        self._app.timers.every("engine links", REVIEW_S, now, self._review)
        self._app.timers.every("figures", TELL_S, now, self._tell)
        self._clock.start(self._app.timers, now)

    def demand(self, service: str) -> Demand:
        """The demand for the models of a service."""
        return self._demand.setdefault(service, Demand())

    def planned(self, service: str, model: str) -> PlannedLoad | None:
        """The load of the model that is under way or planned."""
        return self._plans.get(service, {}).get(model)

    def waiting(self, service: str, model: str) -> int:
        """The calls of all entries that waited for the model at the last plan."""
        return self._planned_for.get(service, {}).get(model, NO_WANT).waiting

    def plan_for(self, service: str, model: str) -> PlannedLoad | None:
        """The load of the model for a call that waits now: the plan is made anew unless
        it is of this moment.

        A model that can't be loaded anywhere isn't in the plan at all. A plan that left
        it out is an answer too, for the calls that it counted; made anew for each look
        of each of them, plans would leave a starting entry time for nothing else.
        """
        now = self._app.now()
        planned = self.planned(service, model)
        counted = self._own.get(service, {}).get(model, NO_WANT).waiting
        more = self.demand(service).waiting(now, model) > counted
        if (planned is None and more) or self._is_old(now):
            self._plan_all(now)
            self._clock.hurry(now)
            planned = self.planned(service, model)
        return planned

    def _is_old(self, now: float) -> bool:
        return now - self._planned_at > FRESH_PAUSES * self._clock.pause_s

    def wish(self, backend: Backend, wish: Wish) -> bool:
        """Ask the agent beside the engine for a load; False if there is none."""
        link = self._links.get(backend.registered.host)
        if link is None:
            return False
        link.wishes[(wish.model, wish.adapter)] = wish
        self._exchanger.poke_at(self._address(backend.registered.host))
        return True

    def store_loads(self) -> float:
        """How many loads the weight store is taken to serve at full speed."""
        return self._speeds.least_loads

    def stream_count(self) -> int:
        """How many streams to agents are kept."""
        return len(self._links)

    def stop(self) -> None:
        """Close all streams."""
        for link in self._links.values():
            link.task.cancel()
        self._links.clear()

    def _review(self, now: float) -> None:
        for instance in self._knowledge.fleet.sweep(now):
            self._events.emit(BackendRemoved(instance, "missing_after_outage"))
        wanted = {}
        config = self._knowledge.config
        if config is None:
            return
        for backend in self._knowledge.fleet:
            service = config.services.get(backend.registered.service)
            if service is not None and service.engine is not None:
                wanted[backend.registered.host] = backend
        for host in list(self._links):
            if host not in wanted:
                self._links.pop(host).task.cancel()
        for host, backend in wanted.items():
            if host not in self._links:
                self._open(host, backend)
            self._links[host].instance = backend.instance
        self._recall(now)
        reached = [
            (host, backend.agent_heard(now), backend.lost(now))
            for host, backend in wanted.items()
        ]
        if reached != self._reached:
            self._reached = reached
            self._clock.changed(now)
            self._choose_collectors(now, wanted)

    def _recall(self, now: float) -> None:
        """An engine that was listed after its agent had spoken: the agent doesn't
        repeat what it said."""
        for outgoing in self._exchanger.streams():
            words = outgoing.said
            if not isinstance(words, AgentSaid) or words.state is None:
                continue
            backend = self._knowledge.fleet.get(words.state.instance)
            if backend is None or backend.engine is words.state:
                continue
            if now - outgoing.heard_at < AGENT_SILENT_S:
                self._take_over(outgoing.heard_at, words, outgoing.peer, False)

    def _choose_collectors(self, now: float, wanted: dict[str, Backend]) -> None:
        heard: dict[str, list[str]] = {}
        for host, backend in wanted.items():
            if backend.agent_heard(now):
                heard.setdefault(backend.registered.service, []).append(host)
        self._collectors = {
            service: collectors(service, hosts) for service, hosts in heard.items()
        }

    def _address(self, host: str) -> str:
        return f"{host}:{self._agent_port}"

    def _open(self, host: str, backend: Backend) -> None:
        stream = self._exchanger.keep_open(
            self._address(host),
            lambda update, outgoing: self._fill(host, update, outgoing),
            self.received,
            lambda: tells_at_once(self._app.instance, host, self.entries),
        )
        task = asyncio.get_running_loop().create_task(stream)
        self._links[host] = _Link(task, backend.instance)

    def _fill(self, host: str, update: Update, outgoing: Outgoing) -> None:
        link = self._links.get(host)
        backend = link and self._knowledge.fleet.get(link.instance)
        if not backend:
            return
        if self._has_news(backend, outgoing):
            told = self._to_tell(backend)
            outgoing.told["entry"] = told
            update.entry.CopyFrom(told.message())
        for wish in link.wishes.values():
            wire.add_wish(update, wish)
        link.wishes.clear()

    def _tell(self, now: float) -> None:
        """Tell agents whose figures have moved."""
        for host, link in self._links.items():
            outgoing = self._exchanger.kept(self._address(host))
            backend = self._knowledge.fleet.get(link.instance)
            if outgoing is None or backend is None:
                continue
            if self._has_news(backend, outgoing):
                outgoing.soon()

    def _has_news(self, backend: Backend, outgoing: Outgoing) -> bool:
        """Whether the agent is to be told anew."""
        told: Told | None = outgoing.told.get("entry")
        wants = self._own_wants(backend.registered.service)
        collects = self._collects(backend)
        now = self._app.now()
        return told is None or told.is_outdated(now, wants, backend, collects)

    def _to_tell(self, backend: Backend) -> Told:
        wants = self._own_wants(backend.registered.service)
        return Told.now(self._app.now(), wants, backend, self._collects(backend))

    def _collects(self, backend: Backend) -> bool:
        registered = backend.registered
        return registered.host in self._collectors.get(registered.service, ())

    def _own_wants(self, service: str) -> dict[str, Want]:
        wants = self._own.get(service)
        return self._wants(service) if wants is None else wants

    def figures_for(self, backend: Backend) -> pb.EntryFigures:
        """What the agent beside the engine is told of this entry's calls."""
        return self._to_tell(backend).message()

    def received(self, update: Update, outgoing: Outgoing | None = None) -> None:
        """Take over what the agent beside an engine says; what it said before on the
        same stream holds on unless this replaces it."""
        words = AgentSaid.after(update, outgoing.said if outgoing else None)
        if outgoing is not None:
            outgoing.said = words
        if update.collected:
            self._clock.changed(self._app.now())
        source = outgoing.peer if outgoing is not None else update.sender
        is_new = update.HasField("engine")
        self._take_over(self._app.now(), words, source, is_new)

    def _take_over(
        self, now: float, words: AgentSaid, source: str, is_new: bool
    ) -> None:
        if words.entries:
            self.entries = words.entries
        if words.state is None:
            return
        fleet = self._knowledge.fleet
        backend = fleet.get(words.state.instance)
        if backend is not None and words.totals is not None:
            service, host = backend.registered.service, backend.registered.host
            self._totals.told(now, service, host, words.totals)
        if backend is None:
            return
        if not is_new and words.state.incarnation.precedes(backend.incarnation):
            # A beat says nothing anew of a start that has ended.
            return
        is_news = backend.engine is not words.state
        wakes = wakes_calls(backend, words.state)
        if fleet.engine_told(now, words.state) and is_news:
            if backend.ended:
                self._knowledge.note_restart(backend, source)
            self._clock.changed(now)
            if wakes:
                self._knowledge.changed.notify()

    def _wants(self, service: str) -> dict[str, Want]:
        """This entry's demand; models that engines hold are in it also if nobody asks
        for them, as agents have to know which of them other engines have as well."""
        holders: Counter[str] = Counter()
        copies: Counter[str] = Counter()
        for backend in self._knowledge.fleet.of_service(service):
            holders.update(backend.holdings.keys())
            copies.update(copies_at(backend))
        wants = self.demand(service).wants(self._app.now(), holders, copies)
        for model, count in holders.items():
            if model not in wants:
                wants[model] = Want(holders=count, copies=copies[model])
        return wants

    def wants_of_all(self, service: str, own: dict[str, Want]) -> dict[str, Want]:
        """The demand of all entries for the models of a service, as its collectors
        told it last, and not less than what this entry knows of its own."""
        return greater(self._totals.of(self._app.now(), service), own)

    def _plan_due(self, now: float) -> None:
        """Make the plan if this entry acts on it; if not, only what comes of it for
        others: its own demand, which agents are told, and the store's speed.

        Made by all of many entries, it would be made in vain by most: a few ask for the
        loads.
        """
        if self._is_planner() or self._awaits_own():
            self._plan_all(now)
            return
        self._clock.making(now)
        self._observe(now)
        for service in self._engine_services():
            wants = self._refresh_wants(service.name)
            if any(want.value for want in wants.values()):
                self._clock.has_work()

    def _plan_awaited(self, now: float) -> None:
        """Calls wait: make the plan if this entry acts on it.

        Of many entries one asks for the load. The store's speed is learnt from when
        loads begin and end, by all of them.
        """
        if self._acts_on_plan(now):
            self._plan_all(now)
        else:
            self._observe(now)

    def _acts_on_plan(self, now: float) -> bool:
        """Whether this entry asks for loads that calls wait for: they are its own, or
        it is the one to see to their model. Others make the plan when a call comes."""
        if self._awaits_own():
            return True
        return any(map(self._sees_to, self._totals.waited_for(now)))

    def _awaits_own(self) -> bool:
        """Whether calls of this entry wait, or refused callers are due back here."""
        if any(demand.anyone_waits for demand in self._demand.values()):
            return True
        return any(want.waiting for own in self._own.values() for want in own.values())

    def _is_planner(self) -> bool:
        return self._app.instance in planners(self.entries)

    def _observe(self, now: float) -> None:
        for service in self._engine_services():
            backends = self._knowledge.fleet.of_service(service.name)
            self._speeds.observe(now, service, backends)

    def _engine_services(self) -> list[ServiceSpec]:
        config = self._knowledge.config
        services = config.services.values() if config is not None else ()
        return [service for service in services if service.engine is not None]

    def _any_waits(self) -> bool:
        if self._awaits_own():
            return True
        if not self._is_planner():
            return False
        counted = self._planned_for.values()
        return any(want.waiting for wants in counted for want in wants.values())

    def _refresh_wants(self, service: str) -> dict[str, Want]:
        """This entry's demand as it is now, as agents are told it; the same table as
        before where nothing has changed."""
        wants = self._wants(service)
        if wants != self._own.get(service):
            self._own[service] = wants
        return self._own[service]

    def _plan_all(self, now: float) -> None:
        self._clock.making(now)
        self._planned_at = now
        pairs = 0
        for service in self._engine_services():
            backends = self._knowledge.fleet.of_service(service.name)
            pairs += len(backends) * len(service.engine.models)
            speed = self._speeds.observe(now, service, backends)
            planner = Planner(service.engine, speed.limit, left_by(speed, now))
            wants = self._refresh_wants(service.name)
            wants_of_all = self.wants_of_all(service.name, wants)
            plan = planner.plan(now, backends, wants_of_all)
            self._plans[service.name] = plan
            self._planned_for[service.name] = wants_of_all
            self._ask(plan, wants, wants_of_all)
            if plan or any(want.value for want in wants_of_all.values()):
                self._clock.has_work()
        self._clock.pause_s = pause_s(pairs)

    def _ask(
        self,
        plan: dict[str, PlannedLoad],
        wants: dict[str, Want],
        wants_of_all: dict[str, Want],
    ) -> None:
        for load in plan.values():
            if not load.ask_now:
                continue
            backend = self._knowledge.fleet.get(load.instance)
            if backend is None:
                continue
            waiting = wants.get(load.model, NO_WANT).waiting
            want = wants_of_all.get(load.model, NO_WANT)
            alone = waiting and not load.from_store
            if not alone and not self._sees_to(load.model):
                continue
            urgency = WAITED_FOR if waiting or want.waiting else AHEAD
            self.wish(backend, Wish(load.model, "", urgency, want))

    def _sees_to(self, model: str) -> bool:
        """Whether this entry is the one to ask for a load from the weight store, or
        for one that no call waits for.

        All entries have nearly the same plan. Asked by several at the same moment,
        agents would load a model at more engines than it needs, and half of what the
        store gives would be wasted. A load from a copy is over before it matters.
        """
        return seen_to_by(model, self.entries) == self._app.instance
