"""What an entry and an agent have reported to each other on one stream, as kept by the
entry.

A report holds until it is replaced on the same stream, so only changes are sent, and no
report is built when its message would carry no change.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from bambootiller.gateway import message_codec
from bambootiller.rpc import bambootiller_pb2 as pb
from bambootiller_core.gateway.demand_collection import (
    demands_changed,
    relevant_demands,
)
from bambootiller_core.gateway.engine_state import EngineState
from bambootiller_core.gateway.fleet import Backend
from bambootiller_core.gateway.incarnation import Incarnation
from bambootiller_core.gateway.model_demand import Demand


@dataclass(slots=True)
class SentReport:
    """The last report sent to an agent, and the inputs that it was built from."""

    demands: Mapping[str, Demand]
    engine: EngineState | None
    collect: bool
    in_use: Mapping[str, int]
    reported_demands: Mapping[str, Demand]
    sent_at: float

    @classmethod
    def now(
        cls, now: float, demands: Mapping[str, Demand], backend: Backend, collect: bool
    ) -> SentReport:
        """Builds the report of this entry's ``demands`` for the agent of
        ``backend``."""
        in_use = dict(backend.in_flight_by_model)
        reported_demands = _relevant_demands(demands, backend.engine, collect)
        return cls(demands, backend.engine, collect, in_use, reported_demands, now)

    def is_outdated(
        self, now: float, demands: Mapping[str, Demand], backend: Backend, collect: bool
    ) -> bool:
        """Whether the agent has to be sent a new report.

        In most cases comparing the inputs is enough, so that the report isn't built
        again for each agent while nothing has changed.
        """
        if self.in_use != backend.in_flight_by_model or self.collect != collect:
            return True
        if self.demands is demands and self.engine is backend.engine:
            return False
        if _incarnation(self.engine) != _incarnation(backend.engine):
            # When its engine restarts, an agent drops the calls that were reported to
            # it.
            return True
        reported_demands = _relevant_demands(demands, backend.engine, collect)
        if demands_changed(self.reported_demands, reported_demands, now - self.sent_at):
            return True
        self.demands, self.engine = demands, backend.engine
        return False

    def message(self) -> pb.EntryFigures:
        """Encodes the report."""
        return message_codec.entry_message(
            self.reported_demands, self.in_use, self.collect
        )


@dataclass(slots=True)
class AgentReport:
    """What an agent has reported on its stream; holds until it is replaced there."""

    state: EngineState | None = None
    totals: Mapping[str, Demand] | None = None
    entries: tuple[str, ...] = ()

    @classmethod
    def after(cls, update: pb.ResidencyUpdate, before: object) -> AgentReport:
        """Returns what holds after a message; ``before`` is what held until then."""
        begins = update.begins or not isinstance(before, AgentReport)
        report = cls() if begins else before
        if update.HasField("engine"):
            report.state = message_codec.engine_state(update.engine, report.state)
        if update.collected or update.total_demand:
            report.totals = message_codec.demands_of(update.total_demand)
            report.entries = tuple(update.entries)
        return report


def _incarnation(engine: EngineState | None) -> Incarnation | None:
    return engine.incarnation if engine is not None else None


def _relevant_demands(
    demands: Mapping[str, Demand], engine: EngineState | None, collect: bool
) -> dict[str, Demand]:
    reported_demands = relevant_demands(demands, engine)
    if not collect:
        return reported_demands
    in_demand = {name: demand for name, demand in demands.items() if demand.value}
    return {**in_demand, **reported_demands}
