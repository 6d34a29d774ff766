"""What this entry knows of the agents from its own calls to them.

Load figures come with the agents' replies and are never broadcast, so their cost
doesn't grow with the fleet. Their age tells how far to trust them, and the entry's own
requests that were sent after them are counted separately.
"""

from __future__ import annotations

from dataclasses import dataclass

from bambootiller_core.retries import Breaker
from bambootiller_core.types import LoadFigures, ModelKey

#: Figures older than this decide nothing and are dropped. Seconds.
RETENTION_S = 300.0


@dataclass(slots=True)
class Known:
    """The latest figures of a model at an agent, and what was sent there since."""

    figures: LoadFigures | None = None
    at: float = 0.0
    sent_since: int = 0


class FiguresBoard:
    """Figures and breakers by agent.

    Example::

        board.sent(0.0, "i-1", key)
        board.reported(0.1, "i-1", key, figures)
        board.known("i-1", key).figures
    """

    def __init__(self) -> None:
        self._known: dict[str, dict[ModelKey, Known]] = {}
        self._breakers: dict[str, Breaker] = {}

    def known(self, instance: str, key: ModelKey) -> Known:
        """What is known of a model there; nothing, if it was never called."""
        return self._known.get(instance, {}).get(key) or Known()

    def allows(self, now: float, instance: str) -> bool:
        """Whether the agent's breaker lets a request through."""
        breaker = self._breakers.get(instance)
        return breaker is None or breaker.allows(now)

    def sent(self, now: float, instance: str, key: ModelKey) -> None:
        """A request was sent there."""
        self._at(now, instance, key).sent_since += 1
        if (breaker := self._breakers.get(instance)) is not None:
            breaker.sent(now)

    def reported(
        self, now: float, instance: str, key: ModelKey, figures: LoadFigures
    ) -> None:
        """The agent answered with figures; those include all that was sent before."""
        known = self._at(now, instance, key)
        known.figures = figures
        known.at = now
        known.sent_since = 0

    def answered(self, now: float, instance: str) -> None:
        """The agent answered, so it is to be trusted with requests."""
        if (breaker := self._breakers.get(instance)) is not None:
            breaker.succeeded(now)

    def failed(self, now: float, instance: str, key: ModelKey) -> None:
        """An attempt there broke off; its figures tell nothing any more."""
        self._known.get(instance, {}).pop(key, None)
        self._breakers.setdefault(instance, Breaker()).failed(now)

    def forget(self, instance: str) -> None:
        """The agent is dead; one that returns under its name starts anew."""
        self._known.pop(instance, None)
        self._breakers.pop(instance, None)

    def sweep(self, now: float) -> None:
        """Drop what is too old, so that the memory follows the agents in use."""
        for instance, models in list(self._known.items()):
            for key, known in list(models.items()):
                if now - known.at > RETENTION_S:
                    del models[key]
            if not models:
                del self._known[instance]

    def _at(self, now: float, instance: str, key: ModelKey) -> Known:
        models = self._known.setdefault(instance, {})
        return models.setdefault(key, Known(at=now))
