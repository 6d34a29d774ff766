"""Virtual time, and a network that delays, loses, repeats and cuts messages."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass
class Network:
    """What becomes of messages. Times in seconds, the others parts of all messages."""

    delay_s: float = 0.004
    jitter_s: float = 0.004
    lost: float = 0.0
    doubled: float = 0.0
    late: float = 0.0
    late_s: float = 3.0


@dataclass
class World:
    """The clock, the queue of what is to come, and who is cut off or gone."""

    rng: random.Random
    network: Network = field(default_factory=Network)
    now: float = 0.0
    cut: set[str] = field(default_factory=set)
    messages: int = 0

    def __post_init__(self) -> None:
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def at(self, when: float, act: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._queue, (max(when, self.now), next(self._order), act))

    def after(self, seconds: float, act: Callable[[], None]) -> None:
        """Do something so much later."""
        self.at(self.now + seconds, act)

    def send(self, source: str, target: str, deliver: Callable[[], None]) -> None:
        """Carry a message; those of a cut instance are lost."""
        self.messages += 1
        network, rng = self.network, self.rng
        if source in self.cut or target in self.cut or rng.random() < network.lost:
            return
        copies = 2 if rng.random() < network.doubled else 1
        for _ in range(copies):
            delay_s = network.delay_s + rng.random() * network.jitter_s
            if rng.random() < network.late:
                delay_s += rng.random() * network.late_s
            self.after(delay_s, deliver)

    def run(self, until: float) -> None:
        """Let the time pass."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, act = heapq.heappop(self._queue)
            act()
        self.now = until
