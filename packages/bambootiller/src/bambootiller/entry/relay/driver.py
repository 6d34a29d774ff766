"""Carries out what the relay's core decides: calls agents, passes pieces on.

One driver serves one request. Its output is an asynchronous iterator that the HTTP side
pulls from, so that a slow caller slows the agent's stream instead of filling memory.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any, Protocol

import grpc

from bambootiller.entry.border import ModelAsk
from bambootiller.entry.records import RequestRecord
from bambootiller.entry.relay.calls import Call, Data, Ended, Output, Text
from bambootiller.entry.relay.core import Action, Attempt, Finish, RelayCore, Wait
from bambootiller.entry.relay.correlation import EventCheck, Fault
from bambootiller.entry.relay.messages import (
    read_head,
    read_load,
    read_refusal,
    serve_request,
)
from bambootiller.entry.routing import Routing
from bambootiller.rpc import bambootiller_pb2 as pb
from bambootiller_core.http_status import FINAL_STATUSES
from bambootiller_core.outcomes import Code, Executed, Final, Refused
from bambootiller_core.types import LoadFigures

#: An agent says within milliseconds whether it admits a request. One that is paused or
#: cut off says nothing, and its connection stays up: the caller would wait until the
#: deadline. After this time the attempt counts as broken. Seconds.
SILENCE_S = 1.5
#: A claim waits for the key-value service first, which may be slow. Seconds.
CLAIM_SILENCE_S = 5.0


class Cut(enum.Enum):
    """Why the driver interrupted what it was waiting for."""

    DEADLINE = "the deadline passed"
    CALLER_GONE = "the caller closed the connection"
    LEAVING = "this entry must end"
    SILENT = "the agent didn't say whether it admits the request"
    DEAD = "the agent is dead"


_FOR_GOOD = frozenset({Cut.DEADLINE, Cut.CALLER_GONE, Cut.LEAVING})


class Backends(Protocol):
    """Where the stubs of agents come from."""

    def backend(self, address: str) -> Any: ...


@dataclass(slots=True)
class _Pending:
    """The attempt under way."""

    instance: str
    rpc: Any
    heard: bool = False


class Driver:
    """Serves one request through as many attempts as the core allows.

    Example::

        driver = Driver(call, core, routing, channels, record)
        async for output in driver.outputs():
            ...  # Head, Text and Data, and Ended as the last one
    """

    def __init__(
        self,
        call: Call,
        core: RelayCore,
        routing: Routing,
        backends: Backends,
        record: RequestRecord,
    ) -> None:
        self._call = call
        self._core = core
        self._routing = routing
        self._backends = backends
        self._record = record
        self._loop = asyncio.get_running_loop()
        self._pending: _Pending | None = None
        self._sleeper: asyncio.Future[None] | None = None
        self._cut: Cut | None = None
        self._next: Action | None = None
        self._pieces = 0

    @property
    def instance(self) -> str | None:
        """The agent that serves the request at this moment."""
        return None if self._pending is None else self._pending.instance

    @property
    def text(self) -> str:
        """The whole text so far of a model's answer."""
        return self._core.text

    def passed_on(self) -> None:
        """Part of a service's answer is on its way to the caller."""
        self._core.passed_on()

    def interrupt(self, cut: Cut) -> None:
        """End what is under way; the first reason that is for good stands."""
        if self._cut in _FOR_GOOD:
            return
        self._cut = cut
        if self._pending is not None:
            # Cancelling the call at once frees the engine's work for somebody else.
            self._pending.rpc.cancel()
        if self._sleeper is not None and not self._sleeper.done():
            self._sleeper.set_result(None)

    async def outputs(self) -> AsyncIterator[Output]:
        """The pieces of the answer as they come, then how it ended."""
        deadline = self._call.request.deadline
        timer = self._loop.call_at(deadline, self.interrupt, Cut.DEADLINE)
        action: Action = Wait(self._loop.time())
        try:
            while not isinstance(action, Finish):
                if isinstance(action, Attempt):
                    async with contextlib.aclosing(self._attempt(action)) as pieces:
                        async for output in pieces:
                            yield output
                    action = self._next
                else:
                    await self._sleep(action.until)
                    action = self._chosen()
            self._note_end(action.final)
            yield Ended(action.final, action.finish_reason, self._pieces)
        finally:
            timer.cancel()
            if not self._core.finished:
                self._abandoned()

    def _note_end(self, final: Final) -> None:
        now = self._now()
        if isinstance(final, Refused) and final.code is Code.NO_REPLICA:
            self._routing.patience.in_vain(now, self._call.key)
        self._record.ended(now, final, self._core.attempts)

    def _abandoned(self) -> None:
        """Whoever pulled from the outputs went away, as it does on a cancelled task."""
        finish = self._core.caller_gone()
        self._record.ended(self._now(), finish.final, self._core.attempts)

    def _chosen(self) -> Action:
        if self._cut in _FOR_GOOD:
            return self._after_cut()
        # Whatever else was to be cut ended before it could be.
        self._cut = None
        now = self._now()
        ranked = self._routing.ranked(now, self._call)
        action = self._core.choose(now, ranked)
        if isinstance(action, Attempt):
            self._routing.patience.served(self._call.key)
            self._record.chosen(now, action, ranked)
        return action

    async def _attempt(self, attempt: Attempt) -> AsyncIterator[Output]:
        """One call to one agent; ``_next`` holds what to do after it."""
        address = self._routing.address(attempt.instance)
        if address is None:
            self._next = self._not_sent()
            return
        rpc = self._start(attempt, address)
        pending = self._pending = _Pending(attempt.instance, rpc)
        silence = self._loop.call_later(self._patience(), self._silent, pending)
        check = EventCheck(self._call.request.request_id)
        self._next = None
        if not isinstance(self._call.ask, ModelAsk):
            # A service's answer starts over; nothing of it was passed on yet.
            self._pieces = 0
        try:
            async for event in rpc:
                if not pending.heard:
                    pending.heard = True
                    silence.cancel()
                fault = check.fault(event.request_id, event.sequence)
                if fault is not None:
                    self._record.crossed(self._now(), pending.instance, fault.detail)
                    rpc.cancel()
                    self._break(fault.detail)
                    return
                output = self._event(event)
                if output is not None:
                    yield output
                if self._next is not None:
                    return
            self._break("the agent ended the answer without saying so")
        except grpc.aio.AioRpcError as exc:
            self._break(f"{exc.code().name.lower()}: {exc.details()}")
        except asyncio.CancelledError:
            # Raised for a cancelled task, for our own rpc.cancel(), and for a call that
            # the agent's side cancelled; only the first is not for us to handle.
            if asyncio.current_task().cancelling():
                raise
            self._cancelled()
        finally:
            silence.cancel()
            if self._next is None:
                rpc.cancel()
            self._pending = None

    def _not_sent(self) -> Action:
        detail = "the agent left the membership before it was called"
        refused = Refused(Code.UNREACHABLE, Executed.NO, detail)
        now = self._now()
        ranked = self._routing.ranked(now, self._call)
        return self._core.refused(now, refused, ranked)

    def _start(self, attempt: Attempt, address: str) -> Any:
        now = self._now()
        left = self._call.request.deadline - now
        message = serve_request(
            self._call, attempt, self._routing.revisions(self._call), left
        )
        self._routing.board.sent(now, attempt.instance, self._call.key)
        # The driver's own timer ends the attempt; this one is there in case the agent
        # outlives the connection, so that it doesn't work for nobody.
        stub = self._backends.backend(address)
        return stub.Serve(message, timeout=max(0.001, left) + 1.0)

    def _event(self, event: pb.ServeEvent) -> Output | None:
        kind = event.WhichOneof("event")
        if kind == "chunk":
            return self._chunk(event.chunk)
        if kind == "head":
            if event.head.status not in FINAL_STATUSES:
                self._break(f"the answer has status {event.head.status}")
            elif self._core.head():
                return read_head(event.head)
            else:
                self._break("the answer began twice")
        if kind == "admitted":
            self._admitted(event.admitted)
        elif kind == "done":
            self._done(event.done)
        elif kind == "refused":
            self._refused(event.refused)
        return None

    def _chunk(self, chunk: pb.Chunk) -> Output | None:
        self._pieces += 1
        if self._pieces == 1:
            self._record.first_piece(self._now())
        if isinstance(self._call.ask, ModelAsk):
            text = chunk.text
            tokens = chunk.tokens
            self._core.chunk(text, tokens)
            return Text(text, tokens)
        if self._core.data():
            return Data(chunk.data)
        self._break("the answer has no status")
        return None

    def _admitted(self, admitted: pb.Admitted) -> None:
        now = self._now()
        self._learn(now, admitted.load)
        instance = self._pending.instance
        self._routing.affinity.served(now, self._call.request.prefix, instance)
        self._record.admitted(now, instance, admitted.wait_ms, admitted.cold)

    def _done(self, done: pb.Done) -> None:
        now = self._now()
        self._learn(now, done.load)
        outcome = self._core.done(done.chunks, done.finish_reason, done.replayed)
        if isinstance(outcome, Fault):
            self._break(outcome.detail)
            return
        self._next = outcome

    def _refused(self, refusal: pb.Refusal) -> None:
        now = self._now()
        self._learn(now, refusal.load)
        instance = self._pending.instance
        refused = read_refusal(refusal)
        if refused.code in (Code.NOT_HOLDER, Code.UNKNOWN_SERVICE):
            self._routing.service_absent(now, instance, self._call)
        ranked = self._routing.ranked(now, self._call)
        self._next = self._core.refused(now, refused, ranked)
        self._record.refused(now, instance, refused, self._next)

    def _learn(self, now: float, load: pb.Load) -> None:
        """Note the figures; a reply without any tells only that the agent answers."""
        instance = self._pending.instance
        self._routing.board.answered(now, instance)
        figures = read_load(load)
        if figures != LoadFigures():
            self._routing.board.reported(now, instance, self._call.key, figures)

    def _break(self, detail: str) -> None:
        now = self._now()
        pending = self._pending
        if pending is not None:
            self._routing.broken(now, pending.instance, self._call.key)
            self._record.broken(now, pending.instance, detail)
        ranked = self._routing.ranked(now, self._call)
        self._next = self._core.broken(now, detail, ranked)

    def _cancelled(self) -> None:
        if self._cut is None:
            self._break("the agent cancelled the call")
        else:
            self._next = self._after_cut()

    def _after_cut(self) -> Action:
        cut, self._cut = self._cut, None
        if cut is Cut.DEADLINE:
            self._blame_silence()
            return self._core.deadline_passed()
        if cut is Cut.CALLER_GONE:
            return self._core.caller_gone()
        if cut is Cut.LEAVING:
            return self._core.cut_by_leaving()
        self._break(cut.value)
        return self._next

    def _blame_silence(self) -> None:
        """An agent that said nothing until the deadline is counted as failing."""
        pending = self._pending
        if pending is not None and not pending.heard:
            self._routing.broken(self._now(), pending.instance, self._call.key)

    def _silent(self, pending: _Pending) -> None:
        if self._pending is pending:
            self.interrupt(Cut.SILENT)

    def _patience(self) -> float:
        claimed = self._call.request.non_idempotent
        return CLAIM_SILENCE_S if claimed else SILENCE_S

    async def _sleep(self, until: float) -> None:
        delay = until - self._now()
        if delay <= 0 or self._cut is not None:
            return
        self._sleeper = self._loop.create_future()
        handle = self._loop.call_later(delay, _wake, self._sleeper)
        try:
            await self._sleeper
        finally:
            handle.cancel()
            self._sleeper = None

    def _now(self) -> float:
        return self._loop.time()


def _wake(sleeper: asyncio.Future[None]) -> None:
    if not sleeper.done():
        sleeper.set_result(None)
