"""How long a request waits for a place when there is none.

A slot that moves or a process that restarts leaves a model without a place for a
moment, and a caller is better served by a short wait than by a refusal. But when a
region is cut off or all holders are gone, the wait is in vain, and each caller would
pay for it before it hears so. One request's wait in vain therefore stands for those
that come after it: they are refused at once, until a place appears or nobody has asked
for a while."""

from __future__ import annotations

from bambootiller_core.types import ModelKey

#: How long the first requests wait for a place to appear, if their deadlines allow.
#: The platform's list takes some ten seconds to show that an instance is gone, and only
#: then its slots may move. Seconds.
PATIENCE_S = 15.0
#: How long a wait in vain stands for others, from the latest refusal on. Seconds.
MEMORY_S = 10.0


class Patience:
    """Remembers for which models or services waiting was in vain.

    Example::

        patience.of(0.0, key)  # 5.0
        patience.in_vain(5.0, key)
        patience.of(6.0, key)  # 0.0
        patience.served(key)
        patience.of(7.0, key)  # 5.0
    """

    def __init__(self) -> None:
        self._in_vain: dict[ModelKey, float] = {}

    def of(self, now: float, key: ModelKey) -> float:
        """The seconds that a request may wait for a place."""
        noted = self._in_vain.get(key)
        if noted is None or now - noted > MEMORY_S:
            return PATIENCE_S
        return 0.0

    def in_vain(self, now: float, key: ModelKey) -> None:
        """A request was refused because no place appeared."""
        self._in_vain[key] = now

    def served(self, key: ModelKey) -> None:
        """There is a place again."""
        self._in_vain.pop(key, None)

    def sweep(self, now: float) -> None:
        """Forget what counts no more."""
        for key, noted in list(self._in_vain.items()):
            if now - noted > MEMORY_S:
                del self._in_vain[key]
