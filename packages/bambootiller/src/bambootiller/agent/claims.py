"""Claims of non-idempotent calls: the shell round :class:`ClaimBook`.

One task asks the book what to write and read, and tells it what came of it. Attempts
wait for their outcome on a future.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Coroutine
from typing import TYPE_CHECKING

from bambootiller import logs
from bambootiller_core.claims import (
    ClaimAttempt,
    ClaimBook,
    ClaimOutcome,
    ClaimRead,
    ClaimRecord,
    ClaimState,
    ClaimUnavailable,
    ClaimWrite,
    KeptAnswer,
    Replay,
    Settled,
    Taken,
    claim_key,
    fingerprint,
)
from bambootiller_core.template import WhenStoreDown
from bambootiller_core.types import ServiceTarget

if TYPE_CHECKING:
    from bambootiller.agent.calls import Call
    from bambootiller.app import Application

IDLE_POLL_SECONDS = 0.02

log = logs.logger("claims")


class ClaimKeeper:
    """Claims calls for this agent, and writes how they ended.

    Example::

        match await keeper.claim(call, WhenStoreDown.REFUSE):
            case Claimed(token):
                keeper.start(token)
                ...
                keeper.close(token, ClaimState.DONE, answer)
    """

    def __init__(self, app: Application) -> None:
        self._app = app
        self._book = ClaimBook(app.rng, self._may_be_running)
        self._waiting: dict[str, asyncio.Future[ClaimOutcome]] = {}
        self._wake = asyncio.Event()
        self._pump: asyncio.Task | None = None

    def __len__(self) -> int:
        """The attempts that aren't closed yet."""
        return len(self._book)

    async def start_pump(self) -> None:
        """Begin to write and read."""
        self._pump = self._app.spawn("claims", self._run())

    async def claim(self, call: Call, when_down: WhenStoreDown) -> ClaimOutcome:
        """Get the call for this attempt, or learn why that can't be.

        If the caller of this is cancelled, the attempt is given up, and whatever it had
        written is released.
        """
        attempt = self._attempt(call, when_down)
        fut = asyncio.get_running_loop().create_future()
        self._waiting[attempt.token] = fut
        call.taken_elsewhere = lambda: self._taken_elsewhere(attempt.token, fut)
        self._book.want(self._app.now(), attempt)
        self._wake.set()
        try:
            outcome = await fut
        except asyncio.CancelledError:
            self.give_up(attempt.token)
            raise
        finally:
            self._waiting.pop(attempt.token, None)
        self._record(call, outcome)
        return outcome

    def start(self, token: str) -> None:
        """The call is sent now, under the claim with ``token``."""
        self._book.start(token)

    def close(
        self, token: str, state: ClaimState, answer: KeptAnswer | None = None
    ) -> None:
        """Write how the call ended; failing to costs a replay, nothing else."""
        self._book.close(self._app.now(), token, state, answer)
        self._wake.set()

    def give_up(self, token: str) -> None:
        """The call will not be run under this token."""
        self._book.give_up(self._app.now(), token)
        self._wake.set()

    async def wait_idle(self, until: float) -> bool:
        """Wait until nothing is left to write; False if ``until`` came first."""
        while len(self._book) and self._app.now() < until:
            await asyncio.sleep(IDLE_POLL_SECONDS)
        return not len(self._book)

    def _attempt(self, call: Call, when_down: WhenStoreDown) -> ClaimAttempt:
        req = call.req
        return ClaimAttempt(
            # Drawn from the system's randomness, never from the seeded generator: two
            # processes with the same seed would draw the same token, each would take
            # the other's claim for its own, and the call would run twice.
            token=f"{self._app.instance}/{secrets.token_hex(16)}",
            key=claim_key(req.customer, req.caller, req.idempotency_key),
            holder=self._app.instance,
            request_id=call.name,
            fingerprint=_fingerprint(call),
            deadline=req.deadline,
            when_down=when_down,
        )

    async def _run(self) -> None:
        while True:
            self._wake.clear()
            now = self._app.now()
            self._settle(self._book.expire(now))
            self._send(now)
            due = self._book.next_due()
            delay = None if due is None else max(0.0, due - self._app.now())
            try:
                await asyncio.wait_for(self._wake.wait(), delay)
            except TimeoutError:
                continue

    def _send(self, now: float) -> None:
        if (write := self._book.next_write(now)) is not None:
            self._spawn(self._write(write))
        while (read := self._book.next_read(now)) is not None:
            self._spawn(self._read(read))

    def _spawn(self, coro: Coroutine[None, None, None]) -> None:
        self._app.spawn("claim", coro)

    async def _write(self, write: ClaimWrite) -> None:
        self._app.metrics.incr("agent.claim_writes")
        outcome = await self._app.kv.transact(write.compares, write.puts)
        self._settle(self._book.on_written(self._app.now(), write, outcome))
        self._wake.set()

    async def _read(self, read: ClaimRead) -> None:
        self._app.metrics.incr("agent.claim_reads")
        outcome = await self._app.kv.get(read.key)
        self._settle(self._book.on_read(self._app.now(), read.token, outcome))
        self._wake.set()

    def _settle(self, settled: list[Settled]) -> None:
        for item in settled:
            fut = self._waiting.get(item.token)
            if fut is not None and not fut.done():
                fut.set_result(item.outcome)
            else:
                # Its call went away at the same moment. Nothing runs, so the claim, if
                # it got one, must not stay behind.
                self._book.give_up(self._app.now(), item.token)

    def _taken_elsewhere(self, token: str, fut: asyncio.Future[ClaimOutcome]) -> bool:
        """Whether another attempt has claimed the call and may run it.

        The book forgets an attempt when its wait is over, and the outcome is on its way
        to the attempt's task for a turn of the loop. A call that is aborted in between,
        as both happen at the deadline, was told "no" of what another agent was running.
        So from then on the outcome tells.
        """
        if fut.done() and not fut.cancelled():
            return isinstance(fut.result(), Taken | Replay)
        return self._book.waits_for_holder(token)

    def _record(self, call: Call, outcome: ClaimOutcome) -> None:
        kind = type(outcome).__name__
        if isinstance(outcome, ClaimUnavailable):
            log.warning("the call can't be claimed: {}", outcome.detail)
        self._app.metrics.incr(f"agent.claim.{kind.lower()}")
        self._app.decisions.record(
            self._app.now(),
            f"request/{call.name}",
            "claim",
            kind,
            "what stands under its idempotency key decides",
            key=call.req.idempotency_key,
        )

    def _may_be_running(self, record: ClaimRecord) -> bool:
        """Whether the holder of a claim may still give its answer.

        An instance that the platform lists as gone can't; nor can this one, if no call
        under that token is open here: the claim is an earlier process's.
        """
        if record.holder == self._app.instance:
            return record.token in self._book
        return not self._app.instances.is_gone(record.holder)


def _fingerprint(call: Call) -> str:
    target = call.req.target
    if isinstance(target, ServiceTarget):
        path = f"{target.service}{target.path}"
        return fingerprint(target.method, path, call.body.body)
    path = f"{call.body.api}/{target.model}:{target.adapter}"
    return fingerprint("POST", path, call.body.body)
