"""The platform's instance list, as lagging evidence of who exists.

The list says three things that no probe can: which processes exist that nobody has met,
which are about to be taken away, and which are gone for good. Only the last needs care,
because slots move on it. An instance is gone if an earlier answer had it and a later,
successful one hasn't. A failed poll says nothing, and the list before it stays in
force."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
import xxhash

from bambootiller import logs
from bambootiller._forms import plain_url
from bambootiller.instanceforms import (
    LIST_FORMS,
    ListedInstance,
    NotAList,
    Parse,
    parse_http_sd,
)

if TYPE_CHECKING:
    from bambootiller.app import Application

POLL_SECONDS = 1.5
POLL_JITTER = 0.33
#: What polling may receive on average, in bytes a second. A list of thousands of
#: instances, asked for each second, would by itself take many times what a process may
#: spend on control, so the period grows with the answer.
POLL_BYTES_PER_SECOND = 2_500
POLL_TIMEOUT_SECONDS = 5.0
#: Listeners are called this often even if the list stays the same, since what they know
#: besides may have changed.
REPEAT_EVERY = 20
#: An answer that drops more than this share of the instances at once is only believed
#: when the next successful answer says the same.
IMPLAUSIBLE_SHARE = 0.5
#: An instance that this process never saw listed counts as gone after this time with at
#: least so many successful answers without it: far longer than the list lags, however
#: seldom it is polled. Seconds.
UNLISTED_SECONDS = 30.0
UNLISTED_ANSWERS = 3
#: How many gone instances are remembered; far more than are replaced in a day.
GONE_REMEMBERED = 4096

log = logs.logger("instances")


@dataclass(frozen=True, slots=True)
class Believed:
    """The answer is in force; ``gone`` are the instances that it no longer has."""

    gone: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Doubted:
    """The answer is set aside until a second one confirms it."""

    dropped: int


@dataclass(slots=True)
class _Unlisted:
    """A name that was asked for and that no answer has shown."""

    since: float
    answers: int = 0

    def long(self, now: float) -> bool:
        waited = now - self.since >= UNLISTED_SECONDS
        return waited and self.answers >= UNLISTED_ANSWERS


class ListHistory:
    """The list in force, and what has gone from it. Without input or output.

    What goes wrong: the platform's list service restarts and answers for a moment with
    an empty or half-filled list, successfully. Believed at once, it would make every
    slot of the fleet movable while all holders still run, and so break the cap on
    replicas. One notices by how much an answer drops at once. Such an answer only
    counts when the next successful answer, a poll later, also lacks the same instances.
    A real loss of a whole availability zone is confirmed then, one poll late.

    An answer that lacks a whole region proves nothing about it, however often it comes:
    while regions have lost each other, a list may show only its own side. All instances
    of the other region are then silent too, and run on.
    """

    def __init__(self) -> None:
        self.available = False
        self._listed: dict[str, ListedInstance] = {}
        self._gone: dict[str, None] = {}
        self._fresh: dict[str, None] = {}
        self._doubted: frozenset[str] = frozenset()
        self._unlisted: dict[str, _Unlisted] = {}
        self._regions: frozenset[str] = frozenset()

    def listed(self) -> dict[str, ListedInstance]:
        """The list in force, by instance."""
        return dict(self._listed)

    def is_gone(self, instance: str, now: float = 0.0) -> bool:
        """Whether the platform has taken the instance away.

        Either an earlier answer had it and a later one hasn't, or nobody has listed it
        for half a minute. The second matters to a process that starts after the
        instance went: it never sees the instance listed, and without this rule the
        slots that the instance held would stay with it for good. Slots are given to
        listed instances only, so a holder that is merely not listed yet doesn't occur.
        """
        if instance in self._gone:
            return True
        if instance not in self._listed:
            self._unlisted.setdefault(instance, _Unlisted(now))
        return False

    def answered(
        self, answer: list[ListedInstance], now: float = 0.0
    ) -> Believed | Doubted:
        """Take over a successful answer."""
        self.available = True
        found = {item.instance: item for item in answer}
        self._regions = frozenset(item.region for item in answer)
        missing = self._missing_from(found)
        implausible = len(missing) > IMPLAUSIBLE_SHARE * len(self._listed)
        gone = missing & self._doubted if implausible else missing
        self._doubted = missing - gone
        self._listed.update(found)
        self._remember(sorted(gone | self._long_unlisted(found, now)))
        for name in found:
            self._gone.pop(name, None)
        if self._doubted:
            return Doubted(len(self._doubted))
        return Believed(tuple(sorted(gone)))

    def shows_region(self, region: str) -> bool:
        """Whether the latest answer has any instance of the region."""
        return region in self._regions

    def take_gone(self) -> tuple[str, ...]:
        """The instances that went since the last call."""
        taken, self._fresh = tuple(self._fresh), {}
        return taken

    def failed(self) -> None:
        """A poll failed: the list in force stays."""
        self.available = False

    def _missing_from(self, found: dict[str, ListedInstance]) -> frozenset[str]:
        """The listed instances that the answer lacks, but for whole regions of them."""
        return frozenset(
            name
            for name, item in self._listed.items()
            if name not in found and self.shows_region(item.region)
        )

    def _long_unlisted(self, found: dict[str, ListedInstance], now: float) -> set[str]:
        """Count an answer for the names that were asked for and aren't listed."""
        past = set()
        for name, unlisted in list(self._unlisted.items()):
            unlisted.answers += 1
            if name in found or unlisted.long(now):
                del self._unlisted[name]
            if name not in found and unlisted.long(now):
                past.add(name)
        return past

    def _remember(self, gone: list[str]) -> None:
        for name in gone:
            self._listed.pop(name, None)
            self._gone[name] = None
            self._fresh[name] = None
        while len(self._gone) > GONE_REMEMBERED:
            del self._gone[next(iter(self._gone))]


class InstanceList:
    """Polls the instance list; see :class:`ListHistory` for what it concludes.

    Example::

        app.instances.is_gone("i-12")           # evidence for moving its slots
        app.instances.listed()["i-13"].leaving  # about to be taken away
    """

    def __init__(self, app: Application) -> None:
        self._app = app
        self._history = ListHistory()
        self._listeners: list[Callable[[], None]] = []
        self._session: aiohttp.ClientSession | None = None
        self._task: asyncio.Task | None = None
        self._hurry = asyncio.Event()
        self._digest = 0
        self._unchanged = 0
        self._received = 0
        self._latest: list[ListedInstance] = []
        self._url = ""
        self._parse: Parse = parse_http_sd

    @property
    def available(self) -> bool:
        """Whether the latest poll succeeded."""
        return self._history.available

    def listed(self) -> dict[str, ListedInstance]:
        """The list in force, by instance."""
        return self._history.listed()

    def is_gone(self, instance: str) -> bool:
        """Whether the platform has taken the instance away, see
        :class:`ListHistory`."""
        return self._history.is_gone(instance, self._app.now())

    def shows_region(self, region: str) -> bool:
        """Whether the latest answer has any instance of the region."""
        return self._history.shows_region(region)

    def take_gone(self) -> tuple[str, ...]:
        """The instances that went since the last call; for one caller."""
        return self._history.take_gone()

    def poll_soon(self) -> None:
        """Poll next thing, because a member died and the list may tell whether it went.

        Asked for too often, it changes nothing: one poll is made for all deaths that
        were noticed in the same moment.
        """
        self._hurry.set()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when an answer says something new, and now and then."""
        self._listeners.append(listener)

    async def start(self) -> None:
        """Poll once, then go on in the background; without a URL do nothing."""
        url = self._app.settings.instances_url
        if url is None:
            return
        self._url, self._parse = plain_url(url), LIST_FORMS.of(url)
        limit = aiohttp.ClientTimeout(total=POLL_TIMEOUT_SECONDS)
        self._session = aiohttp.ClientSession(timeout=limit)
        await self.poll()
        self._task = self._app.spawn("instance list", self._poll_forever())

    async def stop(self) -> None:
        """End polling."""
        if self._task is not None:
            self._task.cancel()
        if self._session is not None:
            await self._session.close()

    async def poll(self) -> None:
        """Ask once, and take the answer over if there is one."""
        before = self._digest
        answer = await self._ask()
        if answer is None:
            self._history.failed()
            self._app.metrics.incr("instances.poll_failed")
            return
        outcome = self._history.answered(answer, self._app.now())
        if isinstance(outcome, Doubted):
            log.warning("the list drops {} at once; waiting", outcome.dropped)
        elif outcome.gone:
            log.info("gone from the list: {}", ", ".join(outcome.gone))
        self._unchanged = self._unchanged + 1 if self._digest == before else 0
        if self._unchanged % REPEAT_EVERY == 0:
            self._tell()

    def _tell(self) -> None:
        for listener in tuple(self._listeners):
            listener()

    async def _poll_forever(self) -> None:
        while True:
            jitter = self._app.rng.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)
            await self._pause(poll_period(self._received) * jitter)
            await self.poll()

    async def _pause(self, seconds: float) -> None:
        """Wait for the next poll's time, or until it is asked for earlier.

        The list lags, so an early poll comes a little after the death was noticed, and
        not more often than polls come in a small fleet.
        """
        self._hurry.clear()
        await asyncio.sleep(min(seconds, POLL_SECONDS))
        left = seconds - POLL_SECONDS
        if left <= 0:
            return
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._hurry.wait(), left)

    async def _ask(self) -> list[ListedInstance] | None:
        try:
            async with self._session.get(self._url) as response:
                if response.status != 200:
                    return None
                body = await response.read()
                self._received = _wire_bytes(response, body)
                return self._parsed(body)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as exc:
            log.debug("instance list at {}: {}", self._url, exc)
            return None

    def _parsed(self, body: bytes) -> list[ListedInstance] | None:
        """The answer's instances; one that says the same as the last isn't parsed.

        At thousands of instances, parsing holds the loop up longer than the time
        between two tokens, and mostly the list says what it said before."""
        digest = xxhash.xxh3_64_intdigest(body)
        if digest == self._digest:
            return self._latest
        found = self._parse(body)
        if isinstance(found, NotAList):
            log.warning("the instance list isn't valid: {}", found.detail)
            return None
        self._digest, self._latest = digest, found
        return found


def poll_period(received: int) -> float:
    """Seconds between two polls when an answer takes ``received`` bytes on the wire."""
    return max(POLL_SECONDS, received / POLL_BYTES_PER_SECOND)


def _wire_bytes(response: aiohttp.ClientResponse, body: bytes) -> int:
    """What the answer took on the wire: less than its body if it came compressed."""
    return response.content_length or len(body)
