"""What an entry and an agent have told each other on one stream, as the entry keeps it.

What either said holds until it says otherwise on the same stream, so only changes
travel, and nothing is worked out anew for a message that wouldn't say anything.
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
    """What an agent was told last, and what it was worked out from."""

    demands: Mapping[str, Demand]
    engine: EngineState | None
    collect: bool
    in_use: Mapping[str, int]
    part: Mapping[str, Demand]
    sent_at: float

    @classmethod
    def now(
        cls, now: float, demands: Mapping[str, Demand], backend: Backend, collect: bool
    ) -> SentReport:
        """What the agent beside the engine is to know, of this entry's ``demands``."""
        in_use = dict(backend.in_flight_by_model)
        part = _relevant_part(demands, backend.engine, collect)
        return cls(demands, backend.engine, collect, in_use, part, now)

    def is_outdated(
        self, now: float, demands: Mapping[str, Demand], backend: Backend, collect: bool
    ) -> bool:
        """Whether the agent is to be told anew.

        Mostly a look at what it comes from is enough; it isn't worked out for each
        agent again and again while nothing has changed.
        """
        if self.in_use != backend.in_flight_by_model or self.collect != collect:
            return True
        if self.demands is demands and self.engine is backend.engine:
            return False
        if _incarnation(self.engine) != _incarnation(backend.engine):
            # An agent whose engine starts anew forgets the calls that it was told of.
            return True
        part = _relevant_part(demands, backend.engine, collect)
        if demands_changed(self.part, part, now - self.sent_at):
            return True
        self.demands, self.engine = demands, backend.engine
        return False

    def message(self) -> pb.EntryFigures:
        """The same, to be sent."""
        return message_codec.entry_message(self.part, self.in_use, self.collect)


@dataclass(slots=True)
class AgentReport:
    """What an agent has said on its stream, until it says otherwise there."""

    state: EngineState | None = None
    totals: Mapping[str, Demand] | None = None
    entries: tuple[str, ...] = ()

    @classmethod
    def after(cls, update: pb.ResidencyUpdate, before: object) -> AgentReport:
        """What holds after a message, ``before`` being what held until then."""
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


def _relevant_part(
    demands: Mapping[str, Demand], engine: EngineState | None, collect: bool
) -> dict[str, Demand]:
    part = relevant_demands(demands, engine)
    if not collect:
        return part
    asked = {name: demand for name, demand in demands.items() if demand.value}
    return {**asked, **part}
