"""How many requests are under way here, and whether new ones are taken."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from bambootiller.entry.relay.driver import Cut, Driver
from bambootiller_core.outcomes import Code, Executed, Refused

#: When to come back to a full entry. Milliseconds.
FULL_RETRY_MS = 1000
#: When to come back, to another entry, after this one has closed. Milliseconds.
LEAVING_RETRY_MS = 100


class Ticket:
    """The right to be under way; released exactly once."""

    def __init__(self, on_release: Callable[[], None]) -> None:
        self._on_release: Callable[[], None] | None = on_release

    def release(self) -> None:
        """Give it back; a second call does no harm."""
        release, self._on_release = self._on_release, None
        if release is not None:
            release()


class Intake:
    """Counts requests under way, against a limit, until it is closed.

    Example::

        match intake.enter():
            case Ticket() as ticket: ...
            case Refused() as refused: ...
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._under_way = 0
        self._drivers: set[Driver] = set()
        self._empty = asyncio.Event()
        self._empty.set()
        self._closed = False

    @property
    def under_way(self) -> int:
        """The requests that have entered and not ended."""
        return self._under_way

    def enter(self) -> Ticket | Refused:
        """Take a request in, or say why not."""
        if self._closed:
            detail = "this entry is stopping and takes no new requests"
            return Refused(Code.LEAVING, Executed.NO, detail, LEAVING_RETRY_MS)
        if self._under_way >= self._limit:
            detail = f"{self._under_way} requests are under way here, the most allowed"
            return Refused(Code.OVERLOADED, Executed.NO, detail, FULL_RETRY_MS)
        self._under_way += 1
        self._empty.clear()
        return Ticket(self._release)

    def attach(self, driver: Driver) -> None:
        """Note the driver of a request, so that it can be interrupted."""
        self._drivers.add(driver)

    def detach(self, driver: Driver) -> None:
        """The driver's request has ended."""
        self._drivers.discard(driver)

    def close(self) -> None:
        """Take nothing new from now on."""
        self._closed = True

    def interrupt_all(self, cut: Cut) -> None:
        """End everything that is under way."""
        for driver in list(self._drivers):
            driver.interrupt(cut)

    def interrupt_at(self, instance: str, cut: Cut) -> None:
        """End the attempts that are under way at one agent."""
        for driver in list(self._drivers):
            if driver.instance == instance:
                driver.interrupt(cut)

    async def wait_empty(self, seconds: float) -> bool:
        """Wait until nothing is under way; False if ``seconds`` went by before."""
        try:
            await asyncio.wait_for(self._empty.wait(), max(0.0, seconds))
        except TimeoutError:
            return False
        return True

    def _release(self) -> None:
        self._under_way -= 1
        if self._under_way == 0:
            self._empty.set()
