"""Which agents run a plain service beside them.

Plain services hold no slots, and no process announces them, so an entry learns from the
agents' answers: one that served a service is asked first, one that said that it doesn't
run there is asked last for a while. The order among the others is a rendezvous order,
so that the entries' first questions don't all go to the same agent.
"""

from __future__ import annotations

from collections.abc import Iterable

from bambootiller_core import rendezvous
from bambootiller_core.types import ModelKey

#: How long an agent's word that it doesn't run a service is taken for true. Seconds.
ABSENCE_S = 30.0


class ServicePlaces:
    """What agents have shown about the services beside them.

    Example::

        places.absent(0.0, "i-1", key)
        places.present("i-2", key)
        places.ordered(0.1, key, ["i-1", "i-2", "i-3"])  # ["i-2", "i-3", "i-1"]
    """

    def __init__(self) -> None:
        self._present: dict[ModelKey, set[str]] = {}
        self._absent: dict[ModelKey, dict[str, float]] = {}

    def present(self, instance: str, key: ModelKey) -> None:
        """The agent served the service."""
        self._present.setdefault(key, set()).add(instance)
        self._absent.get(key, {}).pop(instance, None)

    def absent(self, now: float, instance: str, key: ModelKey) -> None:
        """The agent said that the service doesn't run beside it."""
        self._present.get(key, set()).discard(instance)
        self._absent.setdefault(key, {})[instance] = now + ABSENCE_S

    def forget(self, instance: str) -> None:
        """The agent is gone."""
        for instances in self._present.values():
            instances.discard(instance)
        for instances in self._absent.values():
            instances.pop(instance, None)

    def groups(
        self, now: float, key: ModelKey, instances: Iterable[str]
    ) -> tuple[list[str], list[str]]:
        """The instances that are known to run the service, and those that may.

        Those known not to are in neither, unless nothing else would be left.
        """
        present = self._present.get(key, frozenset())
        absent = self._absent.get(key, {})
        names = rendezvous.ranked(str(key), instances)
        known = [name for name in names if name in present]
        maybe = [
            name
            for name in names
            if name not in present and absent.get(name, 0.0) <= now
        ]
        if not known and not maybe:
            return [], names
        return known, maybe
