"""Spreads costly work over time, so that the other work of the event loop goes on.

What a received byte costs depends on what it is: a body in chunks of one byte takes
thousands of times the work of the same body in one part. A backend server that sends
such a body without end would keep the process busy with it, and the calls of all other
callers would wait.

Example::

    await work_queue.turn()  # before the next costly step
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

#: One step is done in this time, whoever waits: together with the size of a step it
#: bounds the share of the processor that costly work takes. Seconds.
STEP_INTERVAL_S = 0.01


class WorkQueue:
    """Steps of costly work, done in the order in which they were added, one in each
    :data:`STEP_INTERVAL_S`."""

    def __init__(self) -> None:
        self._steps: deque[Callable[[], None]] = deque()
        self._timer: asyncio.TimerHandle | None = None

    def add(self, step: Callable[[], None]) -> None:
        """Do ``step`` when its turn has come."""
        self._steps.append(step)
        self._arm()

    async def turn(self) -> None:
        """Wait for a turn."""
        fut = asyncio.get_running_loop().create_future()
        self.add(lambda: None if fut.done() else fut.set_result(None))
        await fut

    def _arm(self) -> None:
        if self._timer is None and self._steps:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(STEP_INTERVAL_S, self._run_step)

    def _run_step(self) -> None:
        self._timer = None
        step = self._steps.popleft()
        self._arm()
        step()
