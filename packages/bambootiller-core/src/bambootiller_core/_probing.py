"""Which member is probed next, and which probes are under way."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

from bambootiller_core.types import Member


@dataclass(frozen=True, slots=True)
class Probe:
    """Probe ``member`` directly; report the result under ``number``."""

    number: int
    member: Member
    timeout: float


@dataclass(frozen=True, slots=True)
class ProbeThrough:
    """Ask each of ``helpers`` to probe ``member``; report under ``number``."""

    number: int
    member: Member
    helpers: tuple[Member, ...]
    timeout: float


ProbeEffect = Probe | ProbeThrough


class ProbeRound:
    """Shuffled rounds over the peers, with urgent ones in between.

    Within a round each peer is probed once, so that the time to the first probe of a
    given peer has a bound; drawing each time at random would have none.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._left: list[str] = []
        self._urgent: dict[str, None] = {}

    def hurry(self, instance: str) -> None:
        """Probe ``instance`` before the round goes on."""
        self._urgent[instance] = None

    def next_urgent(self) -> str | None:
        """The next urgent instance, which is then urgent no more."""
        if not self._urgent:
            return None
        name = next(iter(self._urgent))
        del self._urgent[name]
        return name

    def next(self, peers: Iterable[str]) -> str | None:
        """The next peer of the round, of those that are peers now."""
        known = set(peers)
        self._left = [name for name in self._left if name in known]
        if not self._left:
            self._left = sorted(known)
            self._rng.shuffle(self._left)
        return self._left.pop() if self._left else None


class ProbesUnderWay:
    """Numbers of the probes whose result is still open."""

    def __init__(self) -> None:
        self._open: dict[int, str] = {}
        self._number = 0

    def start(self, instance: str) -> int:
        """The number of a new probe of ``instance``."""
        self._number += 1
        self._open[self._number] = instance
        return self._number

    def finish(self, number: int) -> str | None:
        """The instance of a probe, or None if its result counts no more."""
        return self._open.pop(number, None)

    def disregard_all(self) -> None:
        """Let no result of a probe under way count."""
        self._open.clear()
