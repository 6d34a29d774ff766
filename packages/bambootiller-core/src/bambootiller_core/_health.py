"""A process's judgement of its own health, so that it doesn't blame others for it.

A process that is short of processor time, was paused, or lost its own link sees all its
probes fail. If it believed them it would declare the whole fleet dead on its return,
and every member would have to refute that. It can tell its own trouble by three signs,
and each of them makes it slower to accuse: the gap between two of its ticks, helpers
that don't answer either, and suspicions of itself.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_SCORE = 6


@dataclass(frozen=True, slots=True)
class Absence:
    """How long the process didn't run before a tick, and if that counts as a pause."""

    seconds: float
    paused: bool


class LocalHealth:
    """A score from 0 (well) up; timeouts are multiplied by ``factor``.

    ``late_s`` is the longest gap between ticks of a process that gets its processor
    time; what goes beyond it is absence. After a gap above ``pause_s`` nothing counts
    that was begun before. ``silence_s`` is the time without a word from anybody after
    which it counts itself as cut off.
    """

    def __init__(self, late_s: float, pause_s: float, silence_s: float) -> None:
        self.score = 0
        self._late_s = late_s
        self._pause_s = pause_s
        self._silence_s = silence_s
        self._ticked: float | None = None
        self._heard: float | None = None

    @property
    def factor(self) -> int:
        """What timeouts are multiplied by: 1 in a process that is well."""
        return 1 + self.score

    def ticked(self, now: float) -> Absence | None:
        """Note a sign of own life; returns the absence that it ends, if any."""
        gap = now - self._ticked if self._ticked is not None else 0.0
        self._ticked = now
        if gap <= self._late_s:
            return None
        absence = Absence(gap - self._late_s, gap > self._pause_s)
        self.worse()
        if absence.paused:
            self._heard = now
        elif self._heard is not None:
            self._heard += absence.seconds
        return absence

    def heard(self, now: float) -> None:
        """Note a word from another process."""
        self._heard = now

    def cut_off(self, now: float) -> bool:
        """Whether nobody has been heard for so long that the fault is probably here."""
        if self._heard is None:
            self._heard = now
        return now - self._heard > self._silence_s

    def better(self) -> None:
        """Note a probe that was answered."""
        self.score = max(0, self.score - 1)

    def worse(self) -> None:
        """Note a sign of own trouble."""
        self.score = min(MAX_SCORE, self.score + 1)
