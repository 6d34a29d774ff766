"""How many loads to take from the weight store at once, and which one first.

The store serves a few loads at full speed; each further one slows down all the others,
so the most urgent model comes no sooner and the rest come no sooner either. The limit
is soft: breaking it costs time but no promise. So it needs no agreement between agents.
Each agent watches how long its own loads take against what they take alone, and keeps
back what isn't urgent while the store is slowed down.
"""

from __future__ import annotations

from dataclasses import dataclass

#: Loads that the store serves at full speed.
FULL_SPEED_LOADS = 4
#: At this stretch of the load times or above, only urgent loads start.
CROWDED = 1.5
#: Urgencies up to this one, on the scale of priorities, start even when it is crowded.
URGENT = 5
#: The weight of the newest stretch in the running mean.
NEWEST_WEIGHT = 0.5
#: Seconds after which a stretch measured long ago counts half as much.
HALF_LIFE_S = 15.0
#: How long a load that isn't urgent is put off before it asks again, seconds.
PUT_OFF_S = 1.0


@dataclass(frozen=True, slots=True)
class Start:
    """The load may start now."""


@dataclass(frozen=True, slots=True)
class WaitUntil:
    """Ask again at ``at``, or earlier if one of the agent's own loads ends."""

    at: float


class StorePacer:
    """Paces one agent's loads from the remote store.

    ``urgency`` is the priority of the most urgent request that waits for the load, 0
    for the most urgent; a prefetch, for which nobody waits, has 9.
    """

    def __init__(self, at_once: int = FULL_SPEED_LOADS) -> None:
        if at_once < 1:
            raise ValueError(f"at_once is {at_once}; it must be at least 1")
        self._at_once = at_once
        self._running = 0
        self._stretch = 1.0
        self._measured_at = 0.0

    def may_start(self, now: float, urgency: int) -> Start | WaitUntil:
        """Whether a load of this urgency may start now."""
        if self._running >= self._at_once:
            return WaitUntil(now + PUT_OFF_S)
        if urgency > URGENT and self.stretch(now) >= CROWDED:
            return WaitUntil(now + PUT_OFF_S)
        return Start()

    def started(self, now: float) -> None:
        """A load from the store was ordered."""
        self._running += 1

    def finished(self, now: float, seconds: float = 0.0, alone_s: float = 0.0) -> None:
        """A load ended; ``seconds`` it took, ``alone_s`` it takes on an idle store.

        Without these two, as after a failed load, only the count changes.
        """
        self._running = max(0, self._running - 1)
        if seconds <= 0.0 or alone_s <= 0.0:
            return
        newest = max(1.0, seconds / alone_s)
        current = self.stretch(now)
        self._stretch = current + NEWEST_WEIGHT * (newest - current)
        self._measured_at = now

    def stretch(self, now: float) -> float:
        """By what factor loads are slowed down now, judged by this agent's own."""
        age = max(0.0, now - self._measured_at)
        return 1.0 + (self._stretch - 1.0) * 0.5 ** (age / HALF_LIFE_S)
