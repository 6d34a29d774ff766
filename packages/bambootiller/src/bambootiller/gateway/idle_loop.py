"""An event loop that measures for how long it has had nothing to do.

Late timers alone don't show that a process has more work than time: they are just as
late if it is stopped, or gets little processor time, and has hardly any work. A loop
with more work than time never waits for events; any other does.

Example::

    with asyncio.Runner(loop_factory=IdleMeasuringLoop) as runner:
        runner.run(main())
    ...
    before = loop_idle_s()
    await asyncio.sleep(1.0)
    waited_s = loop_idle_s() - before
"""

from __future__ import annotations

import asyncio
import selectors
import time


class _MeasuringSelector(selectors.DefaultSelector):
    """Adds up the time spent waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.waited_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events."""
        # A timeout of 0 only looks for events: there is work already.
        if timeout is not None and timeout <= 0:
            return super().select(timeout)
        began = time.monotonic()
        try:
            return super().select(timeout)
        finally:
            self.waited_s += time.monotonic() - began


class IdleMeasuringLoop(asyncio.SelectorEventLoop):
    """The standard event loop, with :attr:`idle_s`."""

    def __init__(self) -> None:
        self._measuring = _MeasuringSelector()
        super().__init__(self._measuring)

    @property
    def idle_s(self) -> float:
        """For how long the loop has waited for events in all. Seconds."""
        return self._measuring.waited_s


def loop_idle_s() -> float:
    """The running loop's idle time in seconds; only differences are meaningful. Always
    0 for a loop that doesn't measure it."""
    loop = asyncio.get_running_loop()
    return loop.idle_s if isinstance(loop, IdleMeasuringLoop) else 0.0
