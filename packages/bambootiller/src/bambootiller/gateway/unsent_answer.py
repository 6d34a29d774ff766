"""An answer that waits in memory because its caller, or the network, doesn't take it.

Example::

    unsent = UnsentAnswer(transport, caller_memory, lambda: idle_timeout_s, loop)
    unsent.paused()     # the transport's buffer is full
    unsent.resumed()    # it isn't any more, or the connection is closed
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from bambootiller_core.gateway.caller_memory import CallerMemory, Hold, Kind


class UnsentAnswer:
    """Charges the unsent bytes of one connection, and closes it if none of them is
    taken within the timeout."""

    def __init__(
        self,
        transport: asyncio.Transport,
        memory: CallerMemory,
        timeout_s: Callable[[], float],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._transport = transport
        self._memory = memory
        self._timeout_s = timeout_s
        self._loop = loop
        self._hold: Hold | None = None
        self._timer: asyncio.TimerHandle | None = None

    def paused(self) -> None:
        """The network takes less than there is to send."""
        size = self._transport.get_write_buffer_size()
        self._hold = self._memory.hold(self._abort)
        self._hold.is_answer = True
        if self._hold.grow(Kind.ANSWER, size):
            self._check_later(size)
        else:
            self._abort()

    def resumed(self) -> None:
        """Most of it is sent, or the connection is closed."""
        if self._timer is not None:
            self._timer.cancel()
        if self._hold is not None:
            self._hold.release()
        self._hold = self._timer = None

    def _check_later(self, size: int) -> None:
        self._timer = self._loop.call_later(self._timeout_s(), self._check, size)

    def _check(self, size: int) -> None:
        left = self._transport.get_write_buffer_size()
        if left < size:
            self._check_later(left)
        else:
            self._abort()

    def _abort(self) -> None:
        self.resumed()
        self._transport.abort()
