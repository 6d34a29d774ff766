"""Continuous batching: which requests of a model run, and when each gets its next
token.
"""

import asyncio
import bisect
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from bambootiller_standins.engine._answers import AnswerTokens

MS = 0.001


@dataclass(frozen=True, slots=True)
class Token:
    """One token of an answer; *last* is set on the final one."""

    text: str
    last: bool


@dataclass(frozen=True, slots=True)
class Cut:
    """The answer ends here unfinished, since its model was unloaded."""


@dataclass(eq=False, slots=True)
class Sequence:
    """One request inside a model: its tokens to come, and the queue on which they are
    given out.
    """

    request_id: str
    model: str
    priority: int
    prefix: str
    tokens: AnswerTokens
    given: int = 0
    queue: asyncio.Queue[Token | Cut] = field(default_factory=asyncio.Queue)

    @property
    def finished(self) -> bool:
        """Whether every token has been given out."""
        return self.given >= len(self.tokens)


@dataclass(frozen=True, slots=True)
class BatchTiming:
    """What a batch asks of its engine: how long a step takes, and whether the engine is
    frozen.
    """

    step_ms: Callable[[list[Sequence]], float]
    thawed: Callable
    max_batch: int


class Batch:
    """The running and the waiting requests of one loaded model.

    Each step gives one token to every running request.  Between two steps, waiting
    requests join in the order of their priority and arrival, up to *max_batch*.
    """

    def __init__(self, timing: BatchTiming) -> None:
        self.running: list[Sequence] = []
        self._timing = timing
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._arrivals = itertools.count()
        self._wake = asyncio.Event()
        self._task = asyncio.create_task(self._run())

    @property
    def waiting(self) -> int:
        """How many requests wait to run."""
        return len(self._waiting)

    def add(self, sequence: Sequence) -> None:
        """Puts a request into the waiting line."""
        entry = (sequence.priority, next(self._arrivals), sequence)
        bisect.insort(self._waiting, entry, key=lambda item: item[:2])
        self._wake.set()

    def remove(self, sequence: Sequence) -> None:
        """Takes a request out, wherever it is; one that has ended is left alone."""
        if sequence in self.running:
            self.running.remove(sequence)
        self._waiting = [item for item in self._waiting if item[2] is not sequence]

    def close(self) -> list[Sequence]:
        """Ends the batch and returns the requests that it cut."""
        self._task.cancel()
        cut = self.running + [item[2] for item in self._waiting]
        self.running = []
        self._waiting = []
        for sequence in cut:
            sequence.queue.put_nowait(Cut())
        return cut

    async def _run(self) -> None:
        while True:
            joined = self._admit()
            if not self.running:
                self._wake.clear()
                await self._wake.wait()
                continue
            await asyncio.sleep(self._timing.step_ms(joined) * MS)
            await self._timing.thawed()
            self._give_tokens()

    def _admit(self) -> list[Sequence]:
        joined = []
        while self._waiting and len(self.running) < self._timing.max_batch:
            sequence = self._waiting.pop(0)[2]
            self.running.append(sequence)
            joined.append(sequence)
        return joined

    def _give_tokens(self) -> None:
        for sequence in list(self.running):
            text = sequence.tokens[sequence.given]
            sequence.given += 1
            sequence.queue.put_nowait(Token(text, sequence.finished))
            if sequence.finished:
                self.running.remove(sequence)
