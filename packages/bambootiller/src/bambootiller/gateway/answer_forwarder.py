"""Forwards the answer of one attempt to the caller, part by part."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from bambootiller.gateway.attempt_sender import Attempt, AttemptSender
from bambootiller.gateway.backend_connection import ConnectionLost
from bambootiller.gateway.ports import AnswerHead
from bambootiller.gateway.relay_context import RelayContext
from bambootiller.gateway.reporting import CallReport
from bambootiller_core.gateway.caller_memory import Hold, Kind
from bambootiller_core.gateway.calls import Call, Progress
from bambootiller_core.gateway.events import MAX_EVENT_BYTES, Event, EventSplitter

Send = Callable[[dict[str, Any]], Awaitable[None]]
#: Reads the next part of an attempt's answer, None at its end.
Read = Callable[[Attempt], Awaitable[bytes | None]]

#: An answer up to this size is buffered before its first byte is sent to the caller. A
#: larger one is streamed, so that an endless answer uses no more memory, and so is one
#: for which there is no memory. Bytes.
MAX_COLLECTED_BYTES = 1 << 20
#: How often a buffered answer is in memory: in parts, and joined.
COLLECTED_COPIES = 2
#: How many events of a stream are forwarded at once, if more have been received. A
#: sound stream has fewer even after a pause.
MAX_EVENTS_AT_ONCE = 256


class AnswerForwarder:
    """Forwards the answers of one call's attempts. An answer that can't be finished may
    be continued by the next attempt.

    Example::

        await AnswerForwarder(
            context, call, progress, sender, report, read, send
        ).forward(attempt, head)
    """

    def __init__(
        self,
        context: RelayContext,
        call: Call,
        progress: Progress,
        sender: AttemptSender,
        report: CallReport,
        read: Read,
        send: Send,
    ) -> None:
        self._context = context
        self._call = call
        self._progress = progress
        self._sender = sender
        self._report = report
        self._read = read
        self._send = send
        self._health = context.service(call.service).health

    async def forward(self, attempt: Attempt, head: AnswerHead) -> None:
        """Forward the answer of an attempt, whose head has been received, to its end.

        Raises what reading it raises, and :class:`ConnectionLost` if it is unusable.
        """
        is_events = self._call.is_stream and 200 <= head.status < 300
        if is_events:
            await self._forward_event_stream(attempt, head)
            return
        # Buffered before the first byte is sent: an answer that breaks off can then
        # still be replaced by that of another backend server.
        hold = self._context.caller_memory.hold()
        try:
            data, is_whole = await self._collect(attempt, hold)
        finally:
            hold.release()
        if not is_whole:
            await self._forward_large_answer(attempt, head, data)
            return
        self._record_health(attempt, head)
        self._report.part_forwarded(self._context.clock())
        await self._send_head(head)
        await self._send({"type": "http.response.body", "body": data})

    async def _collect(self, attempt: Attempt, hold: Hold) -> tuple[bytes, bool]:
        """Read an answer to its end, or as far as it can be buffered, and whether that
        is its end."""
        parts, size = [], 0
        while (data := await self._read(attempt)) is not None:
            parts.append(data)
            size += len(data)
            has_memory = hold.grow(Kind.COLLECTED, COLLECTED_COPIES * len(data))
            if size > MAX_COLLECTED_BYTES or not has_memory:
                return b"".join(parts), False
        return b"".join(parts), True

    async def _forward_large_answer(
        self, attempt: Attempt, head: AnswerHead, data: bytes | None
    ) -> None:
        """Stream an answer that is too large to be buffered."""
        self._report.part_forwarded(self._context.clock())
        await self._send_head(head)
        self._progress.forwarded = True
        try:
            while data is not None:
                await self._send(
                    {"type": "http.response.body", "body": data, "more_body": True}
                )
                data = await self._read(attempt)
        except asyncio.CancelledError:
            if self._context.clock() >= self._call.deadline:
                # The body didn't end before the call's deadline.
                self._sender.record_failure(attempt.backend)
            raise
        self._record_health(attempt, head)
        await self._send({"type": "http.response.body", "body": b""})

    def _record_health(self, attempt: Attempt, head: AnswerHead) -> None:
        backend, now = attempt.backend, self._context.clock()
        latency_s = self._context.running_time() - attempt.sent_running_time
        if head.status >= 500:
            self._health.failed(now, backend.incarnation)
        else:
            self._health.succeeded(now, backend.incarnation, latency_s)
        self._context.review_health(self._call.service, backend.incarnation)

    async def _forward_event_stream(self, attempt: Attempt, head: AnswerHead) -> None:
        progress = self._progress
        splitter = EventSplitter()
        first = True
        while True:
            data = await self._read(attempt)
            if data is None:
                break
            at_once = 0
            for events in splitter.feed_in_slices(data):
                if any(_is_oversized(event) for event in events):
                    raise ConnectionLost(
                        "an event exceeds the maximum size", False, True
                    )
                if first:
                    first = False
                    attempt.prefill_done()
                    self._record_health(attempt, head)
                await self._forward_events(head, events)
                at_once += len(events)
                if at_once > MAX_EVENTS_AT_ONCE:
                    at_once = 0
                    await self._context.work_queue.turn()
        if splitter.remainder:
            raise ConnectionLost(
                "the stream ended in the middle of an event", True, True
            )
        if not progress.forwarded:
            await self._send_head(head)
        await self._send({"type": "http.response.body", "body": b""})

    async def _forward_events(self, head: AnswerHead, events: list[Event]) -> None:
        progress = self._progress
        last, newest = self._sender.resume_after(), progress.last_event
        for event in events:
            if event.number is None:
                continue
            if last is not None and event.number <= last:
                raise ConnectionLost(
                    f"event {event.number} received after event {last}", False, True
                )
            last = newest = event.number
        # Updated only after the loop: if one event is out of order none of the batch is
        # forwarded, and a resumed run must still send those before it.
        progress.last_event = newest
        progress.forwarded_at = now = self._context.clock()
        self._report.part_forwarded(now)
        if not progress.forwarded:
            await self._send_head(head)
            progress.forwarded = True
        data = b"".join([event.data for event in events])
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def _send_head(self, head: AnswerHead) -> None:
        await self._send(
            {
                "type": "http.response.start",
                "status": head.status,
                "headers": self._context.dialect.response_headers(head),
            }
        )


def _is_oversized(event: Event) -> bool:
    return len(event.data) > MAX_EVENT_BYTES and event.number is None
