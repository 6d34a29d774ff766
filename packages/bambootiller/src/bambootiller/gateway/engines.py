"""An entry's view of the engines: streams to their agents, plans and waiting calls."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from bambootiller.app import Application
from bambootiller.gateway import wire
from bambootiller.gateway.eventlog import EventLog
from bambootiller.gateway.exchange import Exchanger, Update
from bambootiller.gateway.knowledge import Knowledge
from bambootiller.rpc import bambootiller_pb2 as pb
from bambootiller_core import rendezvous
from bambootiller_core.gateway.collecting import (
    Totals,
    collectors,
    concerning,
    greater,
)
from bambootiller_core.gateway.demand import Demand
from bambootiller_core.gateway.fleet import Backend
from bambootiller_core.gateway.log_lines import BackendRemoved
from bambootiller_core.gateway.order_messages import WAITED_FOR, Wish
from bambootiller_core.gateway.places import copies_at
from bambootiller_core.gateway.relaying import tells_at_once
from bambootiller_core.gateway.residency import PlannedLoad, Planner
from bambootiller_core.gateway.store_speed import StoreSpeed, assumed_loads
from bambootiller_core.gateway.want import Want

#: How often the plan of loads is made anew. Seconds.
PLAN_S = 0.05
#: How often it is made while no call waits. Seconds.
IDLE_PLAN_S = 0.25
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

    Calls that need a model ask :meth:`ready_in` when it can be used, and say while they
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
        self._own: dict[str, dict[str, Want]] = {}
        self._speeds: dict[str, StoreSpeed] = {}
        self._planned_at = float("-inf")

    def start(self) -> None:
        """Begin to review and to plan."""
        now = self._app.now()
        self._app.timers.every("engine links", REVIEW_S, now, self._review)
        self._app.timers.every("load plan", PLAN_S, now, self._plan)

    def demand(self, service: str) -> Demand:
        """The demand for the models of a service."""
        return self._demand.setdefault(service, Demand())

    def planned(self, service: str, model: str) -> PlannedLoad | None:
        """The load of the model that is under way or planned."""
        return self._plans.get(service, {}).get(model)

    def waiting(self, service: str, model: str) -> int:
        """The calls of all entries that waited for the model at the last plan."""
        return self._planned_for.get(service, {}).get(model, Want()).waiting

    def replan(self) -> None:
        """Make the plan now, because a call has come that it doesn't know of."""
        self._plan_all(self._app.now())

    def wish(self, backend: Backend, wish: Wish) -> bool:
        """Ask the agent beside the engine for a load; False if there is none."""
        link = self._links.get(backend.registered.host)
        if link is None:
            return False
        link.wishes[(wish.model, wish.adapter)] = wish
        self._exchanger.poke_at(self._address(backend.registered.host))
        return True

    def store_loads(self) -> float:
        """The loads that the weight store is taken to serve at full speed, by the
        slowest of the services."""
        return min((speed.loads for speed in self._speeds.values()), default=0)

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
        self._choose_collectors(now, wanted)

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
            lambda update, outgoing: self._fill(host, update),
            self.received,
            lambda: tells_at_once(self._app.instance, host, self.entries),
        )
        task = asyncio.get_running_loop().create_task(stream)
        self._links[host] = _Link(task, backend.instance)

    def _fill(self, host: str, update: Update) -> None:
        link = self._links.get(host)
        if link is None:
            return
        backend = self._knowledge.fleet.get(link.instance)
        if backend is None:
            return
        update.entry.CopyFrom(self.figures_for(backend))
        for wish in link.wishes.values():
            wire.add_wish(update, wish)
        link.wishes.clear()

    def figures_for(self, backend: Backend) -> pb.EntryFigures:
        """What the agent beside the engine is told of this entry's calls."""
        service, host = backend.registered.service, backend.registered.host
        wants = self._own.get(service)
        if wants is None:
            wants = self._wants(service)
        collect = host in self._collectors.get(service, ())
        own_part = concerning(wants, backend.engine)
        if collect:
            asked = {name: want for name, want in wants.items() if want.value}
            own_part = {**asked, **own_part}
        wants = own_part
        return wire.entry_message(wants, backend.in_flight_by_model, collect)

    def received(self, update: Update) -> None:
        """Take over what the agent beside an engine says."""
        if not update.HasField("engine"):
            return
        if update.entries:
            self.entries = tuple(update.entries)
        backend = self._knowledge.fleet.get(update.engine.instance)
        state = wire.engine_state(update.engine, backend and backend.engine)
        if backend is not None and update.total_demand:
            service, host = backend.registered.service, backend.registered.host
            wants = wire.wants_of(update.total_demand)
            self._totals.told(self._app.now(), service, host, wants)
        if self._knowledge.fleet.engine_told(self._app.now(), state):
            if backend.ended:
                self._knowledge.note_restart(backend, update.sender)
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

    def _plan(self, now: float) -> None:
        if now - self._planned_at < IDLE_PLAN_S and not self._any_waits():
            return
        self._plan_all(now)

    def _any_waits(self) -> bool:
        if any(demand.anyone_waits for demand in self._demand.values()):
            return True
        return any(
            want.waiting
            for wants in self._planned_for.values()
            for want in wants.values()
        )

    def _plan_all(self, now: float) -> None:
        self._planned_at = now
        config = self._knowledge.config
        if config is None:
            return
        for service in config.services.values():
            if service.engine is None:
                continue
            backends = self._knowledge.fleet.of_service(service.name)
            speed = self._speeds.get(service.name)
            if speed is None:
                speed = StoreSpeed(assumed_loads(service.engine))
                self._speeds[service.name] = speed
            speed.observe(now, backends, service.engine)
            planner = Planner(service.engine, speed.limit, _left_by(speed, now))
            wants = self._own[service.name] = self._wants(service.name)
            wants_of_all = self.wants_of_all(service.name, wants)
            plan = planner.plan(now, backends, wants_of_all)
            self._plans[service.name] = plan
            self._planned_for[service.name] = wants_of_all
            self._ask(plan, wants, wants_of_all)

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
            waiting = wants.get(load.model, Want()).waiting
            want = wants_of_all.get(load.model, Want())
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
        return rendezvous.first(model, self.entries) == self._app.instance


def _left_by(speed: StoreSpeed, now: float) -> Callable[[Backend], float]:
    """When the load under way at an engine ends, the store's speed considered."""

    def left_s(backend: Backend) -> float:
        loading = backend.engine.loading
        if not loading.from_store:
            return loading.left_s
        return speed.left_s(now, backend.incarnation, loading)

    return left_s
