"""Which member is probed next, and which probes are under way."""

from __future__ import annotations

import math
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
        self._accused: dict[str, None] = {}

    def tell(self, instance: str) -> None:
        """Probe ``instance`` beside the round, so that it hears it is suspected."""
        self._accused[instance] = None

    def next_accused(self) -> str | None:
        """The next instance that is to hear of its suspicion."""
        return _pop_first(self._accused)

    def hurry(self, instance: str) -> None:
        """Probe ``instance`` before the round goes on."""
        self._urgent[instance] = None

    def next_urgent(self) -> str | None:
        """The next urgent instance, which is then urgent no more."""
        return _pop_first(self._urgent)

    def next(self, peers: Iterable[str]) -> str | None:
        """The next peer of the round, of those that are peers now."""
        known = set(peers)
        self._left = [name for name in self._left if name in known]
        if not self._left:
            self._left = sorted(known)
            self._rng.shuffle(self._left)
        return self._left.pop() if self._left else None


class ProbesUnderWay:
    """Numbers of the probes whose result is still open, with their timeouts."""

    def __init__(self) -> None:
        self._open: dict[int, tuple[str, float]] = {}
        self._number = 0

    def start(self, instance: str, timeout: float) -> int:
        """The number of a new probe of ``instance``."""
        self._number += 1
        self._open[self._number] = (instance, timeout)
        return self._number

    def finish(self, number: int) -> str | None:
        """The instance of a probe, or None if its result counts no more."""
        return self._open.pop(number, (None, 0.0))[0]

    def disregard_of(self, instance: str) -> None:
        """Let no probe of ``instance`` count that is under way.

        It was sent before the member's latest word, so it is no evidence of silence
        after it.
        """
        for number, (name, _) in tuple(self._open.items()):
            if name == instance:
                del self._open[number]

    def disregard(self, absent: float = math.inf) -> list[str]:
        """Let no probe count whose timeout is up to ``absent`` seconds; returns whose.

        A longer one had time left in which its process ran. So a process that never
        runs for long still finds out who has ended: it is unwell by then, and its
        timeouts are longer than its pauses.
        """
        void = [n for n, (_, timeout) in self._open.items() if timeout <= absent]
        return [self._open.pop(number)[0] for number in void]


def _pop_first(names: dict[str, None]) -> str | None:
    if not names:
        return None
    name = next(iter(names))
    del names[name]
    return name
