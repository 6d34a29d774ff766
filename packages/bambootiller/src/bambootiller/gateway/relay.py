"""Carries one call from its arrival to its final answer."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from bambootiller.gateway.connections import BackendConnection, ConnectionLost
from bambootiller.gateway.elsewhere import Elsewhere, Prepared, Stays
from bambootiller.gateway.keeping_apart import KeepingApart
from bambootiller.gateway.placing import LOOK_AGAIN_S, Placing
from bambootiller.gateway.pools import CannotConnect
from bambootiller.gateway.ports import AnswerHead, Incoming, Verdict
from bambootiller.gateway.relays import Relays
from bambootiller.gateway.reporting import CallReport
from bambootiller.gateway.silence import SilenceWatch, Silent
from bambootiller_core.gateway import attempts
from bambootiller_core.gateway.attempts import (
    CutOff,
    Ended,
    Refusal,
    SendAgain,
)
from bambootiller_core.gateway.calls import Call, Progress
from bambootiller_core.gateway.events import Event, EventSplitter
from bambootiller_core.gateway.fleet import Backend

Send = Callable[[dict[str, Any]], Awaitable[None]]

#: A stream that may be resumed is sent elsewhere when nothing has come for this part of
#: the caller's patience, or for the longest pause times this factor, whichever is more.
SILENCE_SHARE = 0.35
SILENCE_PAUSES = 3.0


class AnswerCut(Exception):
    """An answer that has begun can't be finished; the connection is to be cut."""


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
        self._placing = Placing(relays, call, self._progress)
        self.report = CallReport(relays, call, self._progress)
        self._elsewhere = Elsewhere(
            relays, call, self._progress, self._placing, self.report
        )
        self._keeping_apart = KeepingApart(relays, call, self._progress, self.report)
        #: Where the call goes on, found while its attempt before was still running.
        self._prepared: Prepared | None = None
        self._watch: SilenceWatch | None = None
        self._stayed: Stays | None = None
        #: The engine that has still to read the prompt of the attempt under way.
        self._unread_at: Backend | None = None

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
            return self._finish(decision, "timed out")
        finally:
            if self._prepared is not None:
                self._elsewhere.give_back(self._prepared)

    async def _run(self) -> Refusal | None:
        self._service.budget.called(self._relays.clock())
        if self._call.ask is not None:
            self._placing.ask()
        while True:
            kept_out = await self._keeping_apart.wait()
            if kept_out is not None:
                return self._unplaced(kept_out)
            prepared, self._prepared = self._prepared, None
            found = prepared.backend if prepared else await self._placing.place()
            if isinstance(found, Refusal):
                return self._unplaced(found)
            if not self._relays.quarantine.admits(self._call):
                # Its request ended a backend server while the call was being placed.
                self._prepared = prepared
                continue
            self.report.chosen(found, self._placing.candidates)
            ended = await self._attempt(found, prepared)
            if ended is None:
                return None
            decision = attempts.after(
                self._call, self._progress, ended, self._relays.clock()
            )
            if isinstance(decision, SendAgain) and not self._may_spend(decision):
                decision = attempts.give_up(self._progress)
            self.report.attempt_failed(found, ended, decision)
            if not isinstance(decision, SendAgain):
                return self._finish(decision, ended.value)

    def _unplaced(self, refusal: Refusal) -> Refusal:
        """The final answer of a call that is sent nowhere from now on."""
        if self._progress.passed_on or self._progress.may_have_run:
            decision = attempts.give_up(self._progress)
            return self._finish(decision, refusal.reason.value)
        return refusal

    def _may_spend(self, decision: SendAgain) -> bool:
        if not decision.costs_budget or self._prepared is not None:
            return True
        return self._service.budget.take(self._relays.clock())

    def _finish(self, decision: Refusal | CutOff, why: str) -> Refusal:
        if isinstance(decision, CutOff):
            self.report.cut(why)
            raise AnswerCut
        return decision

    async def _attempt(
        self, backend: Backend, prepared: Prepared | None
    ) -> Ended | None:
        """Send the call to one backend server; None if the answer was passed on
        whole."""
        relays, progress = self._relays, self._progress
        pool = relays.pool(backend)
        conn = prepared.conn if prepared else await self._connect(backend)
        if conn is None:
            return Ended.NOT_SENT
        ask = self._call.ask
        model = ask.model if ask is not None else ""
        adapter = ask.adapter if ask is not None else ""
        backend.call_sent(model, adapter)
        self._prompt_sent(backend)
        progress.tried.append(backend.incarnation)
        progress.sends += 1
        ran_before, last_event = progress.may_have_run, progress.last_event
        progress.may_have_run = True
        done = False
        try:
            ended = await self._exchange(backend, conn, ran_before)
            done = ended in (None, Ended.REFUSED)
            return ended
        except ConnectionLost as exc:
            self._service.health.failed(relays.clock(), backend.incarnation)
            if conn.reused:
                # What took this connection may have taken the other idle ones too.
                pool.close()
            relays.review_health(self._call.service, backend.incarnation)
            progressed = progress.last_event != last_event
            self.report.answer_lost(backend, str(exc), conn.reused, progressed)
            relays.quarantine.run_lost(self._call, backend, progressed)
            return Ended.BROKEN if progress.passed_on else Ended.UNKNOWN
        except asyncio.CancelledError:
            # Its time is over, or its caller left, while an engine was gone silently.
            if backend.engine is not None and backend.engine.silent:
                progressed = progress.last_event != last_event
                relays.quarantine.run_lost(self._call, backend, progressed)
            raise
        finally:
            self._prompt_read()
            backend.call_ended(model, adapter)
            if done:
                pool.release(conn, relays.clock())
            else:
                pool.discard(conn)

    def _prompt_sent(self, backend: Backend) -> None:
        if self._call.ask is not None:
            self._unread_at = backend
            backend.prompt_sent()

    def _prompt_read(self) -> None:
        if self._unread_at is not None:
            self._unread_at.prompt_read()
            self._unread_at = None

    async def _connect(self, backend: Backend) -> BackendConnection | None:
        relays, progress = self._relays, self._progress
        now = relays.clock()
        try:
            # What took the answer of the attempt before took the kept connections too.
            again = backend.incarnation in progress.tried
            pool = relays.pool(backend)
            return await pool.acquire(now, self._call.deadline - now, fresh=again)
        except CannotConnect as exc:
            relays.unreached(self._call.service, backend)
            self.report.cannot_connect(backend, str(exc))
            progress.tried.append(backend.incarnation)
            return None

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
        conn.send(self._incoming.head(headers, self._body), self._body)
        silence_s = self._silence_s(began)
        if silence_s is None:
            return await self._answer(backend, conn, ran_before)
        self._watch = SilenceWatch(conn, silence_s, relays.ran)
        try:
            return await self._answer(backend, conn, ran_before)
        finally:
            self._watch.stop()

    async def _answer(
        self, backend: Backend, conn: BackendConnection, ran_before: bool
    ) -> Ended | None:
        relays, call = self._relays, self._call
        began = relays.ran()
        head = await self._next(backend, conn, lambda: conn.head(self._is_stray))
        verdict = relays.dialect.judge(call, head)
        health = self._service.health
        if verdict in (Verdict.NOT_RUN, Verdict.MISDIRECTED):
            self._progress.may_have_run = ran_before
            if verdict is Verdict.MISDIRECTED and call.ask is not None:
                backend.denies(relays.clock(), call.ask.model, call.ask.adapter)
            health.failed(relays.clock(), backend.incarnation)
            relays.review_health(call.service, backend.incarnation)
            await self._next(backend, conn, lambda: _read_all(conn))
            return Ended.REFUSED
        if verdict is Verdict.USELESS:
            raise ConnectionLost(f"useless answer of status {head.status}", False, True)
        await self._pass_on(backend, conn, head, began)
        if 200 <= head.status < 300:
            relays.quarantine.completed(call)
        self.report.answered(backend, head.status)
        return None

    def _is_stray(self, head: AnswerHead) -> bool:
        return self._relays.dialect.judge(self._call, head) is Verdict.STRAY

    def _resume_after(self) -> int | None:
        if self._progress.last_event is not None:
            return self._progress.last_event
        return self._call.resume_after

    async def _next(
        self,
        backend: Backend,
        conn: BackendConnection,
        read: Callable[[], Awaitable[Any]],
    ) -> Any:
        """Await ``read()``; a silent backend server is left if the call can go on
        elsewhere, or if it is lost."""
        while True:
            try:
                return await read()
            except Silent as exc:
                if not await self._stays(backend, conn, str(exc)):
                    raise ConnectionLost(str(exc), False, False) from exc

    async def _stays(
        self, backend: Backend, conn: BackendConnection, detail: str
    ) -> bool:
        """Whether the call stays with its silent backend server for now."""
        now = self._relays.clock()
        backend.unreached(now)
        found = await self._elsewhere.prepare(conn)
        if isinstance(found, Prepared):
            self._prepared = found
            return False
        if found is not Stays.SPOKE and self._is_given_up(backend):
            return False
        if found is not self._stayed:
            self._stayed = found
            self.report.silence_borne(backend, detail, found.value)
        if found in (Stays.SPOKE, Stays.ATTEMPTS):
            self._watch.again()
        else:
            # A place, a connection or the budget may be there in a moment.
            self._watch.look_again(LOOK_AGAIN_S)
        return True

    def _is_given_up(self, backend: Backend) -> bool:
        """Whether nothing will come of waiting. An answer that has begun isn't given
        up for a belief: an agent that has ended says nothing of its engine."""
        return not self._progress.passed_on and backend.lost(self._relays.clock())

    def _silence_s(self, now: float) -> float | None:
        """How long the backend server may be silent before the call goes elsewhere."""
        call = self._call
        left_attempts = call.route.max_attempts - self._progress.sends
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
        while (data := await self._next(backend, conn, conn.chunk)) is not None:
            parts.append(data)
        self._judge(backend, head, relays.ran() - began)
        self.report.part_passed_on(relays.clock())
        await self._start(head)
        await self._send({"type": "http.response.body", "body": b"".join(parts)})

    def _judge(self, backend: Backend, head: AnswerHead, latency_s: float) -> None:
        now = self._relays.clock()
        if head.status >= 500:
            self._service.health.failed(now, backend.incarnation)
        else:
            self._service.health.succeeded(now, backend.incarnation, latency_s)
        self._relays.review_health(self._call.service, backend.incarnation)

    async def _pass_events(
        self, backend: Backend, conn: BackendConnection, head: AnswerHead, began: float
    ) -> None:
        relays, progress = self._relays, self._progress
        splitter = EventSplitter()
        first = True
        while True:
            data = await self._next(backend, conn, conn.chunk)
            if data is None:
                break
            events = splitter.feed(data)
            if not events:
                continue
            if first:
                first = False
                self._prompt_read()
                self._judge(backend, head, relays.ran() - began)
            await self._pass_whole(head, events)
        if splitter.rest:
            raise ConnectionLost(
                "the stream ended in the middle of an event", True, True
            )
        if not progress.passed_on:
            await self._start(head)
        await self._send({"type": "http.response.body", "body": b""})

    async def _pass_whole(self, head: AnswerHead, events: list[Event]) -> None:
        progress = self._progress
        last, newest = self._resume_after(), progress.last_event
        for event in events:
            if event.number is None:
                continue
            if last is not None and event.number <= last:
                raise ConnectionLost(
                    f"event {event.number} came after {last}", False, True
                )
            last = newest = event.number
        # Noted only now: where one of them is out of order none is passed on, and the
        # caller still needs those before it.
        progress.last_event = newest
        progress.passed_at = now = self._relays.clock()
        self.report.part_passed_on(now)
        if not progress.passed_on:
            await self._start(head)
            progress.passed_on = True
        data = b"".join([event.data for event in events])
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def _start(self, head: AnswerHead) -> None:
        await self._send(
            {
                "type": "http.response.start",
                "status": head.status,
                "headers": self._relays.dialect.returned(head),
            }
        )


async def _read_all(conn: BackendConnection) -> None:
    while await conn.chunk() is not None:
        continue
