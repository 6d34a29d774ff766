"""Converts between the core's types and the messages of peer streams."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from bambootiller.rpc import bambootiller_pb2 as pb
from bambootiller_core.gateway.crash_ledger import LostRun
from bambootiller_core.gateway.engine_state import EngineState, Loading
from bambootiller_core.gateway.incarnation import Incarnation
from bambootiller_core.gateway.model_demand import Demand
from bambootiller_core.gateway.order_messages import LoadRequest
from bambootiller_core.gateway.quota_messages import (
    CustomerAsk,
    CustomerGrant,
    QuotaAnswer,
    QuotaAsk,
)
from bambootiller_core.gateway.reported_limits import ReportedLimit

#: Longer waits for room in a quota, also endless ones, are sent as this. Seconds.
MAX_ROOM_WAIT_S = 3600.0


def engine_message(state: EngineState) -> pb.EngineFigures:
    """Encodes an agent's report on its engine."""
    message = pb.EngineFigures(
        instance=state.instance,
        busy=state.busy,
        in_memory=sorted(state.in_memory),
        on_disk=sorted(state.on_disk),
        running=state.running,
        queued=state.queued,
        memory_mb_used=state.memory_mb_used,
        orderable=state.orderable,
        silent=state.silent,
        in_use=state.in_use,
        keep_values=state.keep_values,
        started_ms=state.started_ms,
        declined=state.declined,
    )
    if state.loading is not None:
        message.loading = state.loading.model
        message.loading_left_ms = int(state.loading.left_s * 1000)
        message.loading_from_store = state.loading.from_store
    for model, adapters in state.holdings.items():
        message.holdings.add(model=model, adapters=sorted(adapters))
    return message


def engine_state(
    message: pb.EngineFigures, before: EngineState | None = None
) -> EngineState:
    """Decodes an agent's report; ``before`` is its previous report, which holds the
    copies if the message leaves them out as unchanged."""
    in_memory, on_disk = frozenset(message.in_memory), frozenset(message.on_disk)
    started_ms = message.started_ms if message.HasField("started_ms") else None
    if message.same_copies and before is not None and before.started_ms == started_ms:
        in_memory, on_disk = before.in_memory, before.on_disk
    loading = None
    if message.loading:
        left_s = message.loading_left_ms / 1000
        loading = Loading(message.loading, left_s, message.loading_from_store)
    return EngineState(
        instance=message.instance,
        holdings={item.model: frozenset(item.adapters) for item in message.holdings},
        loading=loading,
        busy=message.busy,
        in_memory=in_memory,
        on_disk=on_disk,
        running=message.running,
        queued=message.queued,
        memory_mb_used=message.memory_mb_used,
        orderable=message.orderable,
        silent=message.silent,
        in_use=dict(message.in_use),
        keep_values=dict(message.keep_values),
        started_ms=started_ms,
        declined=message.declined,
    )


def entry_message(
    demands: Mapping[str, Demand], in_use: Mapping[str, int], collect: bool
) -> pb.EntryFigures:
    """Encodes an entry's report on its demand and on its calls at one engine."""
    message = pb.EntryFigures(in_use=in_use, collect=collect)
    message.demand.extend(demand_messages(demands))
    return message


def demand_messages(demands: Mapping[str, Demand]) -> list[pb.ModelDemand]:
    """Encodes the demand for each model."""
    return [
        pb.ModelDemand(
            model=model,
            calls_per_s=demand.rate,
            waiting=demand.waiting,
            holders=demand.holders,
            oldest_ms=int(demand.oldest_s * 1000),
            copies=demand.copies,
            in_time_ms=int(demand.next_deadline_s * 1000),
            adapter_calls_per_s=demand.adapter_miss_rate,
            unserved=demand.unserved,
            unserved_ms=int(demand.unserved_s * 1000),
            callers=demand.callers,
        )
        for model, demand in demands.items()
    ]


def demands_of(messages: Iterable[pb.ModelDemand]) -> dict[str, Demand]:
    """Decodes the demand by model."""
    return {item.model: _demand(item) for item in messages}


def _demand(message: pb.ModelDemand) -> Demand:
    oldest_s = message.oldest_ms / 1000
    return Demand(
        message.calls_per_s,
        message.waiting,
        message.holders,
        oldest_s,
        message.copies,
        message.in_time_ms / 1000,
        message.adapter_calls_per_s,
        message.unserved,
        message.unserved_ms / 1000,
        message.callers if message.HasField("callers") else None,
    )


def add_load_request(update: pb.ResidencyUpdate, load_request: LoadRequest) -> None:
    """Adds a load request to a message."""
    message = update.wishes.add(
        model=load_request.model,
        adapter=load_request.adapter,
        urgency=load_request.urgency,
        store_turns=load_request.store_permits,
    )
    if load_request.demand != Demand():
        message.demand.CopyFrom(
            demand_messages({load_request.model: load_request.demand})[0]
        )


def load_request_of(message: pb.ModelWish) -> LoadRequest:
    """Decodes a load request."""
    demand = _demand(message.demand) if message.HasField("demand") else Demand()
    return LoadRequest(
        message.model, message.adapter, message.urgency, demand, message.store_turns
    )


def add_lost_run(update: pb.ResidencyUpdate, run: LostRun, now: float) -> None:
    """Adds a lost run to a message."""
    update.lost_runs.add(
        fingerprint=run.fingerprint,
        instance=run.incarnation.instance,
        started_ms=run.incarnation.started_ms,
        progressed=run.progressed,
        age_ms=max(0, round((now - run.lost_at) * 1000)),
    )


def lost_run_of(message: pb.LostRun, now: float) -> LostRun:
    """Decodes a lost run."""
    started_ms = message.started_ms if message.HasField("started_ms") else None
    return LostRun(
        fingerprint=message.fingerprint,
        incarnation=Incarnation(message.instance, started_ms),
        progressed=message.progressed,
        lost_at=now - message.age_ms / 1000,
    )


def add_server_limit(
    update: pb.ResidencyUpdate, limit: ReportedLimit, now: float
) -> None:
    """Adds the rate limit that a backend server reported to a message."""
    age_ms = max(0, round((now - limit.reported_at) * 1000))
    update.server_limits.add(instance=limit.instance, per_s=limit.per_s, age_ms=age_ms)


def server_limit_of(message: pb.ServerLimit, now: float) -> ReportedLimit:
    """Decodes the rate limit that a backend server reported."""
    per_s = message.per_s if message.HasField("per_s") else None
    return ReportedLimit(message.instance, per_s, now - message.age_ms / 1000)


def set_quota_ask(update: pb.ResidencyUpdate, ask: QuotaAsk) -> None:
    """Sets the quota request of a message."""
    message = update.quota_ask
    message.incarnation, message.number = ask.incarnation, ask.number
    message.term, message.heard = ask.term, ask.heard
    for name, asked in ask.customers.items():
        message.customers.add(
            customer=name,
            demand_per_s=asked.demand_per_s,
            wanted=asked.wanted,
            least=asked.least,
            share=asked.share,
            call_cost=asked.call_cost,
        )


def quota_ask_of(message: pb.QuotaAsk, entry: str) -> QuotaAsk:
    """Decodes the quota request of an entry."""
    customers = {
        item.customer: CustomerAsk(
            item.demand_per_s, item.wanted, item.least, item.share, item.call_cost
        )
        for item in message.customers
    }
    return QuotaAsk(
        entry,
        message.incarnation,
        message.number,
        message.term,
        message.heard,
        customers,
    )


def set_quota_answer(update: pb.ResidencyUpdate, answer: QuotaAnswer) -> None:
    """Sets the answer to a quota request in a message."""
    message = update.quota_answer
    message.term, message.number = answer.term, answer.number
    for name, grant in answer.customers.items():
        message.customers.add(
            customer=name,
            share=grant.share,
            advance=grant.advance,
            room_in_s=min(grant.room_in_s, MAX_ROOM_WAIT_S),
        )


def quota_answer_of(message: pb.QuotaAnswer) -> QuotaAnswer:
    """Decodes the answer to a quota request."""
    customers = {
        item.customer: CustomerGrant(item.share, item.advance, item.room_in_s)
        for item in message.customers
    }
    return QuotaAnswer(message.term, message.number, customers)
