"""Carries one call from its arrival to its final answer."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from bambootiller.gateway.connections import (
    BackendConnection,
    CannotConnect,
    ConnectionLost,
    ConnectionPool,
)
from bambootiller.gateway.engines import Engines
from bambootiller.gateway.eventlog import EventLog
from bambootiller.gateway.knowledge import Knowledge
from bambootiller.gateway.ports import AnswerHead, Dialect, Incoming, Verdict
from bambootiller_core.gateway import attempts, selection
from bambootiller_core.gateway.attempts import (
    CutOff,
    Ended,
    Reason,
    Refusal,
    SendAgain,
)
from bambootiller_core.gateway.budget import ASSUMED_ENTRIES, AttemptBudget
from bambootiller_core.gateway.calls import Call, Progress
from bambootiller_core.gateway.events import EventSplitter
from bambootiller_core.gateway.fleet import Backend
from bambootiller_core.gateway.health import Health
from bambootiller_core.gateway.orders import Wish

Send = Callable[[dict[str, Any]], Awaitable[None]]

#: A call that waits for a model looks again at least this often. Seconds.
LOOK_AGAIN_S = 0.1
#: What a stream needs between its model being there and its first event. Seconds.
FIRST_EVENT_S = 0.15
#: A stream lasts about so long. One that can't begin this long before the end of a
#: planned stop is refused, because it would be cut. Seconds.
STREAM_S = 3.0
#: The longest come-back time; callers honour a part of the time they have left.
#: Seconds.
COME_BACK_MAX_S = 6.0
#: An adapter that hasn't come after this time is sought at another engine. Seconds.
ADAPTER_S = 0.4
#: A stream that may be resumed is sent elsewhere when nothing has come for this part of
#: the caller's patience, or for the longest pause times this factor, whichever is more.
SILENCE_SHARE = 0.35
SILENCE_PAUSES = 3.0


class AnswerCut(Exception):
    """An answer that has begun can't be finished; the connection is to be cut."""


@dataclass(slots=True)
class Services:
    """What belongs to one service while it is configured."""

    health: Health = field(default_factory=Health)
    budget: AttemptBudget | None = None


class Relays:
    """Shared by all calls of an entry: pools, budgets and judgements of health."""

    def __init__(
        self,
        knowledge: Knowledge,
        engines: Engines,
        dialect: Dialect,
        events: EventLog,
        zone: str,
        rng: random.Random,
        clock: Callable[[], float],
        new_budget: Callable[[], AttemptBudget],
    ) -> None:
        self.knowledge = knowledge
        self.engines = engines
        self.dialect = dialect
        self.events = events
        self.zone = zone
        self.rng = rng
        self.clock = clock
        self._new_budget = new_budget
        #: When a planned stop cuts what still runs; None while none has begun.
        self.stop_by: float | None = None
        self._services: dict[str, Services] = {}
        self._pools: dict[str, ConnectionPool] = {}

    def service(self, name: str) -> Services:
        """What is kept for a service."""
        found = self._services.get(name)
        if found is None:
            found = self._services[name] = Services(budget=self._new_budget())
        found.budget.entries = max(2, len(self.engines.entries) or ASSUMED_ENTRIES)
        return found

    def pool(self, backend: Backend) -> ConnectionPool:
        """The connections to a backend server, by its instance: a new start at the same
        address doesn't answer on those of the one before."""
        found = self._pools.get(backend.instance)
        if found is None:
            most = self._most_connections(backend)
            found = ConnectionPool(backend.registered.address, most)
            self._pools[backend.instance] = found
        return found

    def sweep(self, now: float) -> None:
        """Close idle connections past their time, and those to gone instances."""
        for instance, pool in list(self._pools.items()):
            pool.sweep(now)
            if self.knowledge.fleet.get(instance) is None:
                pool.close()
                del self._pools[instance]

    def _most_connections(self, backend: Backend) -> int:
        config = self.knowledge.config
        service = config.services.get(backend.registered.service) if config else None
        if service is None or service.max_connections is None:
            return 256
        return max(8, service.max_connections // max(2, len(self.engines.entries)))


class Relay:
    """One call.

    Example::

        refusal = await Relay(relays, incoming, call, body, send).run()
    """

    def __init__(
        self, relays: Relays, incoming: Incoming, call: Call, body: bytes, send: Send
    ) -> None:
        self._relays = relays
        self._incoming = incoming
        self._call = call
        self._body = body
        self._send = send
        self._progress = Progress()
        self._service = relays.service(call.service)

    async def run(self) -> Refusal | None:
        """Serve the call; returns the gateway's own final answer if there is to be one.

        Raises :class:`AnswerCut` if an answer that has begun can't be finished.
        """
        call = self._call
        try:
            async with asyncio.timeout_at(call.deadline):
                return await self._run()
        except TimeoutError:
            decision = attempts.give_up(self._progress, timed_out=True)
            return self._finish(decision)

    async def _run(self) -> Refusal | None:
        self._service.budget.called(self._relays.clock())
        if self._call.ask is not None:
            demand = self._relays.engines.demand(self._call.service)
            demand.asked(self._relays.clock(), self._call.ask.model)
        while True:
            backend = await self._place()
            if isinstance(backend, Refusal):
                if self._progress.passed_on or self._progress.may_have_run:
                    return self._finish(attempts.give_up(self._progress))
                return backend
            ended = await self._attempt(backend)
            if ended is None:
                return None
            decision = attempts.after(
                self._call, self._progress, ended, self._relays.clock()
            )
            if isinstance(decision, SendAgain) and not self._may_spend(decision):
                decision = attempts.give_up(self._progress)
            self._note_attempt(backend, ended, decision)
            if not isinstance(decision, SendAgain):
                return self._finish(decision)

    def _may_spend(self, decision: SendAgain) -> bool:
        if not decision.costs_budget:
            return True
        return self._service.budget.take(self._relays.clock())

    def _finish(self, decision: Refusal | CutOff) -> Refusal:
        if isinstance(decision, CutOff):
            raise AnswerCut
        return decision

    def _note_attempt(self, backend: Backend, ended: Ended, decision: object) -> None:
        self._relays.events.emit(
            "attempt_failed",
            request=self._call.request_id,
            backend=backend.instance,
            ended=ended.value,
            attempts=len(self._progress.tried),
            may_have_run=self._progress.may_have_run,
            last_event=self._progress.last_event,
            next=type(decision).__name__,
            budget_left=round(self._service.budget.left(self._relays.clock()), 1),
        )

    # -- where to

    async def _place(self) -> Backend | Refusal:
        if self._call.ask is None:
            return self._plain_place()
        return await self._engine_place()

    def _untried(self) -> list[Backend]:
        fleet = self._relays.knowledge.fleet
        return [
            backend
            for backend in fleet.of_service(self._call.service)
            if backend.instance not in self._progress.tried
        ]

    def _choose(self, candidates: list[Backend]) -> Backend | None:
        relays = self._relays
        return selection.choose(
            relays.clock(),
            self._call,
            candidates,
            self._service.health,
            relays.zone,
            relays.rng,
        )

    def _plain_place(self) -> Backend | Refusal:
        candidates = self._untried()
        if not candidates:
            return Refusal(Reason.NO_BACKEND, attempts.COME_BACK_S)
        backend = self._choose(candidates)
        if backend is None:
            return Refusal(Reason.OVERLOADED, attempts.COME_BACK_S)
        return backend

    async def _engine_place(self) -> Backend | Refusal:
        """An engine that holds the model and the adapter, waiting for one if need
        be."""
        relays, ask = self._relays, self._call.ask
        demand = relays.engines.demand(self._call.service)
        demand.begin_waiting(ask.model)
        began = relays.clock()
        try:
            while True:
                found = self._engine_now(began)
                if found is not None:
                    return found
                await relays.knowledge.changed.wait(LOOK_AGAIN_S)
        finally:
            demand.end_waiting(ask.model)

    def _engine_now(self, began: float) -> Backend | Refusal | None:
        """An engine, a refusal, or None to wait."""
        ask, now = self._call.ask, self._relays.clock()
        untried = self._untried()
        holders = [backend for backend in untried if ask.model in backend.holdings]
        if not holders:
            return self._await_model(now, untried)
        with_adapter = [
            backend
            for backend in holders
            if not ask.adapter or ask.adapter in backend.holdings[ask.model]
        ]
        chosen = self._choose(with_adapter)
        if chosen is not None:
            return chosen
        if with_adapter or now > self._call.first_event_due - FIRST_EVENT_S:
            return Refusal(Reason.OVERLOADED, attempts.COME_BACK_S)
        return self._await_adapter(now, began, holders)

    def _await_adapter(
        self, now: float, began: float, holders: list[Backend]
    ) -> Refusal | None:
        ask = self._call.ask
        able = [backend for backend in holders if backend.takes_orders(now)]
        if not able:
            return Refusal(Reason.COLD, attempts.COME_BACK_S)
        soonest = min(_free_in(backend) for backend in able)
        if now + soonest > self._call.first_event_due - FIRST_EVENT_S:
            return Refusal(Reason.COLD, min(soonest, COME_BACK_MAX_S))
        able = [backend for backend in able if _free_in(backend) <= soonest + ADAPTER_S]
        able.sort(key=lambda backend: -selection.home_weight(ask, backend.instance))
        turn = int((now - began) / ADAPTER_S) % len(able)
        self._relays.engines.wish(able[turn], Wish(ask.model, ask.adapter))
        return None

    def _await_model(self, now: float, untried: list[Backend]) -> Refusal | None:
        call, ask = self._call, self._call.ask
        engines = self._relays.engines
        planned = engines.planned(call.service, ask.model)
        if planned is None:
            engines.replan()
            planned = engines.planned(call.service, ask.model)
        due = min(call.first_event_due, call.deadline) - FIRST_EVENT_S
        if self._relays.stop_by is not None:
            due = min(due, self._relays.stop_by - STREAM_S)
        ready_in = planned.ready_in_s if planned is not None else None
        if ready_in is not None and now + ready_in < due:
            return None
        engines.demand(call.service).refused(now, ask.model)
        come_back = COME_BACK_MAX_S if ready_in is None else ready_in
        detail = "no engine can load it" if ready_in is None else ""
        come_back = min(max(come_back, attempts.COME_BACK_S), COME_BACK_MAX_S)
        return Refusal(Reason.COLD, come_back, detail)

    # -- one attempt

    async def _attempt(self, backend: Backend) -> Ended | None:
        """Send the call to one backend server; None if the answer was passed on
        whole."""
        relays, progress = self._relays, self._progress
        pool = relays.pool(backend)
        now = relays.clock()
        try:
            conn = await pool.acquire(now, self._call.deadline - now)
        except CannotConnect as exc:
            self._service.health.unreachable(relays.clock(), backend.instance)
            relays.events.emit(
                "cannot_connect",
                request=self._call.request_id,
                backend=backend.instance,
                detail=str(exc),
            )
            progress.tried.append(backend.instance)
            return Ended.NOT_SENT
        ask = self._call.ask
        model = ask.model if ask is not None else ""
        adapter = ask.adapter if ask is not None else ""
        relays.knowledge.fleet.call_sent(backend.instance, model, adapter)
        progress.tried.append(backend.instance)
        ran_before = progress.may_have_run
        progress.may_have_run = True
        done = False
        try:
            ended = await self._exchange(backend, conn, ran_before)
            done = ended in (None, Ended.REFUSED)
            return ended
        except ConnectionLost as exc:
            self._service.health.failed(relays.clock(), backend.instance)
            relays.events.emit(
                "answer_lost",
                request=self._call.request_id,
                backend=backend.instance,
                detail=str(exc),
                reused=conn.reused,
            )
            return Ended.BROKEN if progress.passed_on else Ended.UNKNOWN
        finally:
            relays.knowledge.fleet.call_ended(backend.instance, model, adapter)
            if done:
                pool.release(conn, relays.clock())
            else:
                pool.discard(conn)

    async def _exchange(
        self, backend: Backend, conn: BackendConnection, ran_before: bool
    ) -> Ended | None:
        relays, call = self._relays, self._call
        began = relays.clock()
        resume_after = self._resume_after()
        headers = relays.dialect.outgoing(
            self._incoming, call, backend.instance, resume_after
        )
        headers.append(relays.dialect.time_left(call.deadline - began))
        conn.send(self._request_head(backend, headers), self._body)
        patience = self._silence_s(began)
        head = await self._within(patience, lambda: conn.head(self._is_stray))
        verdict = relays.dialect.judge(call, head)
        health = self._service.health
        if verdict in (Verdict.NOT_RUN, Verdict.MISDIRECTED):
            self._progress.may_have_run = ran_before
            health.failed(relays.clock(), backend.instance)
            await self._within(patience, lambda: _read_all(conn))
            return Ended.REFUSED
        if verdict is Verdict.USELESS:
            raise ConnectionLost(f"useless answer of status {head.status}", False, True)
        await self._pass_on(backend, conn, head, began)
        return None

    def _is_stray(self, head: AnswerHead) -> bool:
        return self._relays.dialect.judge(self._call, head) is Verdict.STRAY

    def _resume_after(self) -> int | None:
        if self._progress.last_event is not None:
            return self._progress.last_event
        return self._call.resume_after

    def _request_head(self, backend: Backend, headers: list) -> bytes:
        incoming = self._incoming
        lines = [incoming.method.encode() + b" " + incoming.target + b" HTTP/1.1"]
        lines += [name + b": " + value for name, value in headers]
        if self._body or incoming.method not in ("GET", "HEAD", "DELETE"):
            lines.append(b"content-length: %d" % len(self._body))
        return b"\r\n".join(lines) + b"\r\n\r\n"

    async def _within(
        self, seconds: float | None, wait: Callable[[], Awaitable[Any]]
    ) -> Any:
        """Await ``wait()``; silence of ``seconds`` counts as a lost answer, but only
        while there is another backend server to turn to."""
        if seconds is None:
            return await wait()
        while True:
            try:
                # Not wait_for(): where the awaited thing ends at the moment at which
                # the caller leaves, that returns its result and forgets the
                # cancellation, and the backend server goes on working for nobody.
                async with asyncio.timeout(seconds):
                    return await wait()
            except TimeoutError as exc:
                if self._has_alternative():
                    detail = f"silent for {seconds:.2f} s"
                    raise ConnectionLost(detail, False, False) from exc

    def _has_alternative(self) -> bool:
        """Whether another backend server could serve the call now."""
        ask = self._call.ask
        return any(
            ask is None
            or (
                ask.model in backend.holdings
                and (not ask.adapter or ask.adapter in backend.holdings[ask.model])
            )
            for backend in self._untried()
        )

    def _silence_s(self, now: float) -> float | None:
        """How long the backend server may be silent before the call goes elsewhere."""
        call = self._call
        left_attempts = call.route.max_attempts - len(self._progress.tried)
        if left_attempts < 1 or not call.may_rerun:
            return None
        if call.is_stream:
            patience = call.route.patience_s * SILENCE_SHARE
            return max(patience, call.route.longest_pause_s * SILENCE_PAUSES)
        return max(0.05, (call.deadline - now) * 0.5)

    async def _pass_on(
        self, backend: Backend, conn: BackendConnection, head: AnswerHead, began: float
    ) -> None:
        relays = self._relays
        is_events = self._call.is_stream and 200 <= head.status < 300
        if is_events:
            await self._pass_events(backend, conn, head, began)
            return
        # Collected before the first byte goes out: an answer that breaks off on the way
        # can then still be replaced by one of another backend server.
        parts = []
        while (data := await conn.chunk()) is not None:
            parts.append(data)
        self._judge(backend, head, relays.clock() - began)
        await self._start(head)
        await self._send({"type": "http.response.body", "body": b"".join(parts)})

    def _judge(self, backend: Backend, head: AnswerHead, latency_s: float) -> None:
        now = self._relays.clock()
        if head.status >= 500:
            self._service.health.failed(now, backend.instance)
        else:
            self._service.health.succeeded(now, backend.instance, latency_s)

    async def _pass_events(
        self, backend: Backend, conn: BackendConnection, head: AnswerHead, began: float
    ) -> None:
        relays, progress = self._relays, self._progress
        splitter = EventSplitter()
        silence = self._silence_s(began)
        first = True
        while True:
            data = await self._within(silence, conn.chunk)
            if data is None:
                break
            events = splitter.feed(data)
            if not events:
                continue
            if first:
                first = False
                self._judge(backend, head, relays.clock() - began)
            await self._pass_whole(head, events)
        if splitter.rest:
            raise ConnectionLost(
                "the stream ended in the middle of an event", True, True
            )
        if not progress.passed_on:
            await self._start(head)
        await self._send({"type": "http.response.body", "body": b""})

    async def _pass_whole(self, head: AnswerHead, events: list) -> None:
        progress = self._progress
        data = []
        for event in events:
            last = self._resume_after()
            if event.number is not None and last is not None:
                if event.number <= last:
                    raise ConnectionLost(
                        f"event {event.number} came after {last}", False, True
                    )
            if event.number is not None:
                progress.last_event = event.number
            data.append(event.data)
        if not progress.passed_on:
            await self._start(head)
            progress.passed_on = True
        await self._send(
            {"type": "http.response.body", "body": b"".join(data), "more_body": True}
        )

    async def _start(self, head: AnswerHead) -> None:
        await self._send(
            {
                "type": "http.response.start",
                "status": head.status,
                "headers": self._relays.dialect.returned(head),
            }
        )


def _free_in(backend: Backend) -> float:
    """When the engine takes an order for an adapter. Seconds."""
    loading = backend.engine.loading if backend.engine is not None else None
    return 0.0 if loading is None else loading.left_s


async def _read_all(conn: BackendConnection) -> None:
    while await conn.chunk() is not None:
        continue
