"""A run: one scenario, one customer's sizes, one policy, one seed."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass

from bambootiller_core import placement, slots
from bambootiller_core.backend import BackendCore
from bambootiller_core.backend_effects import BackendConfig, engine_name
from bambootiller_core.decisions import DecisionLog
from bambootiller_core.membership import Status
from bambootiller_core.placement import SurveyFigures
from bambootiller_core.slots import InstanceGone, SlotTable
from bambootiller_core.types import ModelKey

from .agentmodel import AgentModel
from .arrivals import Arrival, generate
from .enginemodel import EngineModel
from .entrymodel import EntryModel
from .policies import Policy
from .records import IdleClock, Record, RunResult
from .storemodel import StoreModel
from .virtualtime import VirtualTime
from .world import Fault, ScenarioFile, Sizes, build_world

#: After the last arrivals, time for what still runs or waits to end.
TAIL_S = 120.0
#: When other processes suspect a server that is gone, and when they are sure.
SUSPECT_AFTER_S = 1.0
DEAD_AFTER_S = 4.0
#: When the platform's list no longer shows an instance that is gone.
LISTED_FOR_S = 10.0
#: A written slot table reaches all processes after this time.
SPREAD_S = 0.3
#: Holders that are asked about a slot.
SURVEYED = 16
#: How much of the checkpoints lies on some local disk at the start.
ON_DISK_SHARE = 0.12
#: The engine's state arrives with each change here, never by polling, so the silence
#: between two changes means nothing.
NEVER_SILENT_S = 1e12


@dataclass(frozen=True, slots=True)
class RunSpec:
    """Which run: everything that its result depends on."""

    scenario: ScenarioFile
    sizes: Sizes
    policy: Policy
    seed: int


def simulate(spec: RunSpec) -> RunResult:
    """Run a scenario to its end and return what became of every request."""
    return _Fleet(spec).run()


class _Fleet:
    def __init__(self, spec: RunSpec) -> None:
        self._spec = spec
        self._time = VirtualTime()
        seed = f"{spec.scenario.seed}/{spec.seed}/{spec.sizes.customer}"
        self._world = build_world(spec.sizes, random.Random(f"{seed}/world"))
        self._arrivals = generate(
            self._world,
            spec.scenario.horizon_s,
            spec.scenario.arrivals,
            seed=f"{seed}/arrivals",
        )
        self._rng = random.Random(f"{seed}/decisions")
        self._store = StoreModel(self._time, spec.sizes.full_speed_loads)
        self._agents: dict[str, AgentModel] = {}
        self._gone_at: dict[str, float] = {}
        self._gone_listed: set[str] = set()
        self._tables: dict[ModelKey, SlotTable] = {}
        self._key_value_up = True
        self._tokens = 0
        self.result = RunResult()
        self._build_agents()
        self._place_all()
        self._entries = [self._entry(index) for index in range(spec.sizes.entries)]

    # Building

    def _build_agents(self) -> None:
        world = self._world
        place = random.Random(f"{self._spec.seed}/disks")
        for server in world.servers:
            agent = AgentModel(self._time, server, self._core(server.instance))
            facts = {
                engine_name(model.key): model
                for model in world.models
                if model.group == server.group
            }
            agent.engine = EngineModel(
                self._time, self._store, server.memory_bytes, facts, agent.on_state
            )
            for name, model in facts.items():
                agent.idle[model.key] = IdleClock()
                if place.random() < ON_DISK_SHARE:
                    agent.engine.keep_on_disk(name)
            self._agents[server.instance] = agent

    def _core(self, instance: str) -> BackendCore:
        cfg = BackendConfig(silent_s=NEVER_SILENT_S)
        decisions = DecisionLog(subjects=20, per_subject=2)
        return BackendCore(instance, cfg, decisions, random.Random(instance))

    def _place_all(self) -> None:
        for agent in self._agents.values():
            agent.begin(self._world.template)
            self._spec.policy.prepare(agent.core)
        for model in self._world.models:
            table = slots.create(model.key, model.policy.replicas, 1, {}, self._token())
            self._tables[model.key] = self._filled(table)
            self._spread(self._tables[model.key])
        if self._spec.policy.preload:
            self._preload()

    def _preload(self) -> None:
        for model in self._world.models:
            for slot in self._tables[model.key].slots:
                if slot.holder:
                    agent = self._agents[slot.holder]
                    agent.engine.preload(engine_name(model.key), slot.fence)
        for agent in self._agents.values():
            agent.on_state(agent.engine.state())

    def _entry(self, index: int) -> EntryModel:
        return EntryModel(
            f"az-{index % self._spec.sizes.zones + 1}",
            self._time,
            self._agents,
            self._holders,
            self._status,
            self._load_s,
            self._spec.policy,
            self._spec.scenario.report_lag_s,
            random.Random(f"{self._spec.seed}/entry/{index}"),
        )

    # Slots

    def _token(self) -> str:
        self._tokens += 1
        return f"token-{self._tokens}"

    def _holders(self, key: ModelKey) -> tuple[str, ...]:
        return self._tables[key].holders()

    def _filled(self, table: SlotTable) -> SlotTable:
        """The table with its empty slots given to the best places there are."""
        facts = self._world.by_key[table.key]
        for slot in table.slots:
            if slot.holder:
                continue
            held = set(table.holders())
            zones = Counter(self._agents[name].server.zone for name in held)
            choice = placement.rank(
                facts.policy, self._survey(table.key, facts.group, held), zones
            )
            if choice:
                table = slots.assign(table, slot.number, choice[0], self._token())
        return table

    def _survey(self, key: ModelKey, group: str, held: set[str]) -> list[SurveyFigures]:
        able = [
            name
            for name, agent in self._agents.items()
            if agent.server.group == group and name not in self._gone_at
        ]
        figures = []
        for name in placement.candidates(key, able, SURVEYED):
            if name in held:
                continue
            survey = self._agents[name].core.survey(key)
            figures.append(
                SurveyFigures(
                    instance=name,
                    zone=self._agents[name].server.zone,
                    memory_total=survey.memory_total,
                    memory_free=survey.memory_free,
                    slots=survey.slots,
                    slots_bytes=survey.slots_bytes,
                    tier=survey.tier,
                    leaving=survey.leaving,
                )
            )
        return figures

    def _spread(self, table: SlotTable) -> None:
        for agent in self._agents.values():
            if agent.server.group == self._world.by_key[table.key].group:
                agent.on_table(table)

    def _repair(self) -> None:
        """What the entries do about holders that the platform lists no more."""
        if not self._key_value_up:
            return
        for key, table in list(self._tables.items()):
            repaired = self._without_gone(table)
            if repaired is not table:
                self._tables[key] = self._filled(repaired)
                self._spread(self._tables[key])

    def _without_gone(self, table: SlotTable) -> SlotTable:
        for slot in table.slots:
            if slot.holder in self._gone_listed:
                evidence = InstanceGone(slot.holder)
                table = slots.vacate(table, slot.number, evidence, self._token())
        return table

    def _load_s(self, key: ModelKey) -> float:
        return self._world.by_key[key].policy.load_ms / 1000.0

    def _status(self, instance: str) -> Status:
        gone_at = self._gone_at.get(instance)
        if gone_at is None or self._time.now < gone_at + SUSPECT_AFTER_S:
            return Status.ALIVE
        sure = self._time.now >= gone_at + DEAD_AFTER_S
        return Status.DEAD if sure else Status.SUSPECT

    # Faults

    def _schedule(self, fault: Fault) -> None:
        match fault.kind:
            case "zone_lost":
                self._time.at(fault.at, self._lose_zone)
            case "store_slow":
                self._time.at(fault.at, self._store.set_speed, fault.factor)
                self._time.at(fault.at + fault.lasts, self._store.set_speed, 1.0)
            case "key_value_down":
                self._time.at(fault.at, self._set_key_value, False)
                self._time.at(fault.at + fault.lasts, self._set_key_value, True)

    def _lose_zone(self) -> None:
        zone = "az-1"
        for name, agent in self._agents.items():
            if agent.server.zone == zone:
                self._gone_at[name] = self._time.now
                agent.kill()
        self._time.after(LISTED_FOR_S, self._notice_gone)

    def _notice_gone(self) -> None:
        self._gone_listed.update(self._gone_at)
        self._time.after(SPREAD_S, self._repair)

    def _set_key_value(self, up: bool) -> None:
        self._key_value_up = up
        self._time.after(SPREAD_S, self._repair)

    # The run

    def run(self) -> RunResult:
        for fault in self._spec.scenario.faults:
            self._schedule(fault)
        for number, arrival in enumerate(self._arrivals):
            self._time.at(arrival.at, self._arrive, number, arrival)
        end = self._spec.scenario.horizon_s
        self._time.run(until=end)
        self._account(end)
        self._time.run(until=end + TAIL_S)
        return self.result

    def _arrive(self, number: int, arrival: Arrival) -> None:
        name = engine_name(arrival.key)
        holders = [self._agents[holder] for holder in self._holders(arrival.key)]
        alive = [agent for agent in holders if agent.alive]
        loaded = sum(agent.engine.loaded(name) for agent in alive)
        bare = {
            agent.server.instance: agent.engine.bare_load_s(name, arrival.adapter)
            for agent in alive
        }
        cap = self._world.by_key[arrival.key].policy.replicas
        if loaded > cap:
            self.result.broken.append(f"{loaded} replicas of {arrival.key}, cap {cap}")
        record = Record(arrival, cold=loaded == 0, bare_load_s=bare)
        self.result.records.append(record)
        self._rng.choice(self._entries).submit(arrival, record, f"r{number}")

    def _account(self, now: float) -> None:
        """Idle time and loads count up to the horizon, not the tail behind it."""
        for agent in self._agents.values():
            for clock in agent.idle.values():
                clock.advance(now)
                self.result.idle_s += clock.idle_s
                self.result.loaded_s += clock.loaded_s
            self.result.loads += agent.engine.loads
            self.result.broken += agent.engine.failed_rules
        self.result.most_transfers = self._store.most_at_once
