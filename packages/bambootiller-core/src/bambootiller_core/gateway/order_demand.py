"""What entries have told one agent: wishes, demand, and their calls at its engine."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from bambootiller_core.gateway.collecting import greater, sooner
from bambootiller_core.gateway.demand import faded
from bambootiller_core.gateway.order_messages import Wish
from bambootiller_core.gateway.want import NO_WANT, Want

#: What an entry asked for is forgotten after this time unless it is asked for again.
#: Seconds.
WISH_LIFE_S = 0.25
#: An entry's figures of use count for this long after it fell silent: its calls may
#: still be running here. Seconds.
USE_LIFE_S = 3.0
#: A model stays at least this long once it is loaded, and for this part of the time
#: that its load took: callers who were refused meanwhile are on their way back.
#: Seconds.
SHORTEST_TURN_S = 0.6
TURN_SHARE = 0.25
#: An adapter used this recently isn't unloaded: the call that wanted it may be
#: on its way. Seconds.
USED_LATELY_S = 0.4

#: Rates are summed anew after this time, as they fade: by 5 % of them in it, half of
#: what makes an entry tell a rate again. Seconds.
SUM_LIFE_S = 0.25

_NEVER = float("-inf")


@dataclass(slots=True)
class _EntryUse:
    """What one entry last said: demand and use by model, adapters in use. The rates
    fade from ``told_at`` on, here as there."""

    told_at: float
    heard_at: float
    wants: Mapping[str, Want]
    in_use: Mapping[str, int]


class EntriesSay:
    """The words of all entries together, each for as long as it counts.

    Example::

        say.wished(now, Wish("tutor"))
        say.told(now, "entry-1", wants, in_use)
        first = say.wishes()[0]
    """

    def __init__(self) -> None:
        self._wishes: dict[tuple[str, str], tuple[Wish, float]] = {}
        self._wished_by: dict[tuple[str, str], str] = {}
        self._entries: dict[str, _EntryUse] = {}
        self._used_at: dict[tuple[str, str], float] = {}
        #: Until when models that have come stay.
        self._stays_until: dict[str, float] = {}
        #: The sum over all entries; None once one of them has spoken since.
        self._wants: dict[str, Want] | None = None
        self._summed_at = _NEVER
        self._now = _NEVER

    def wished(self, now: float, wish: Wish, entry: str = "") -> None:
        """An entry has calls that need the model or adapter."""
        self._go_on_to(now)
        self._wants = None
        self._wishes[(wish.model, wish.adapter)] = (wish, now)
        self._wished_by[(wish.model, wish.adapter)] = entry
        self._used_at[(wish.model, wish.adapter)] = now

    def told(
        self,
        now: float,
        entry: str,
        wants: Mapping[str, Want],
        in_use: Mapping[str, int],
    ) -> None:
        """An entry's demand over all engines, and its calls here, by model."""
        self._go_on_to(now)
        self._wants = None
        self._entries[entry] = _EntryUse(now, now, wants, in_use)

    def heard(self, now: float, entry: str) -> bool:
        """An entry has nothing new to say; False if what it said before is forgotten,
        and has to be told again."""
        use = self._entries.get(entry)
        if use is None:
            return False
        use.heard_at = now
        return True

    def engine_restarted(self) -> None:
        """What came to the engine, and the calls there, are gone with its last start.
        Entries tell of calls to the new one with their next message."""
        self._stays_until.clear()
        for use in self._entries.values():
            use.in_use = {}

    def loaded(self, now: float, model: str, seconds: float) -> None:
        """The model has come, after a load of so many seconds."""
        turn_s = max(SHORTEST_TURN_S, TURN_SHARE * seconds)
        self._stays_until[model] = now + turn_s

    def forget(self, now: float) -> None:
        """Drop what is too old to count."""
        self._go_on_to(now)
        for key, (_, at) in list(self._wishes.items()):
            if now - at > WISH_LIFE_S:
                self._wants = None
                del self._wishes[key]
                del self._wished_by[key]
        for entry, use in list(self._entries.items()):
            if now - use.heard_at > USE_LIFE_S:
                self._wants = None
                del self._entries[entry]

    def renew(self, now: float, model: str) -> None:
        """A wish for the model lives on: what comes of it isn't known yet, and it isn't
        repeated meanwhile."""
        wish, at = self._wishes.get((model, ""), (None, now))
        if wish is not None:
            self._wishes[(model, "")] = (wish, max(at, now))

    def wished_by(self, model: str, adapter: str = "") -> str:
        """The entry that wished for it last, empty if none does now."""
        return self._wished_by.get((model, adapter), "")

    def wishes(self) -> list[Wish]:
        """Urgent wishes first, among these the one whose calls are in time, but not
        for long, and then the one whose calls have waited longest."""
        wants = self.wants()

        def key(wish: Wish) -> tuple[float, ...]:
            want = wants.get(wish.model, NO_WANT)
            return wish.urgency, not want.in_time_s, want.in_time_s, -want.oldest_s

        return sorted([wish for wish, _ in self._wishes.values()], key=key)

    def wants(self) -> dict[str, Want]:
        """The demand of all entries together, by what they say here, or by what the
        one that asks for a load knows from the collectors if that is more."""
        if self._wants is None:
            self._wants = self._sum()
        return self._wants

    def _go_on_to(self, now: float) -> None:
        """Time goes on, and what was summed up fades."""
        self._now = max(self._now, now)
        if self._now - self._summed_at > SUM_LIFE_S:
            self._wants = None

    def _sum(self) -> dict[str, Want]:
        self._summed_at = self._now
        merged: dict[str, Want] = {}
        for use in self._entries.values():
            elapsed_s = self._now - use.told_at
            left = faded(1.0, elapsed_s)
            for model, want in use.wants.items():
                held = merged.get(model, Want())
                merged[model] = Want(
                    held.rate + want.rate * left,
                    held.waiting + want.waiting,
                    max(held.holders, want.holders),
                    max(held.oldest_s, want.oldest_s),
                    max(held.copies, want.copies),
                    sooner(held.in_time_s, want.in_time_s),
                    held.adapter_rate + want.adapter_rate * left,
                    held.unserved + want.unserved,
                    max(held.unserved_s, _aged(want, elapsed_s)),
                    added(held.callers, want.callers),
                )
        wished = {wish.model: wish.want for wish, _ in self._wishes.values()}
        return greater(merged, wished)

    def in_use(self) -> dict[str, int]:
        """The calls of all entries at this engine, by model and MODEL/ADAPTER."""
        merged: dict[str, int] = {}
        for use in self._entries.values():
            for model, count in use.in_use.items():
                merged[model] = merged.get(model, 0) + count
        return merged

    def loaded_lately(self, now: float, model: str) -> bool:
        """Whether the model came so lately that its waiting calls may not be here yet,
        or have only begun; unloaded now, it would have been loaded for nothing."""
        return now < self._stays_until.get(model, _NEVER)

    def used_lately(self, now: float, model: str, adapter: str) -> bool:
        """Whether a call that wants the adapter may be on its way."""
        return now - self._used_at.get((model, adapter), _NEVER) <= USED_LATELY_S

    def used_at(self, model: str, adapter: str) -> float:
        """When the adapter was wished for last, 0 if it wasn't."""
        return self._used_at.get((model, adapter), 0.0)


def added(first: float | None, second: float | None) -> float | None:
    """The sum of two counts, where None stands for one that wasn't told.

    >>> added(None, 2.0), added(1.0, 2.0), added(None, None)
    (2.0, 3.0, None)
    """
    told = [count for count in (first, second) if count is not None]
    return sum(told) if told else None


def _aged(want: Want, elapsed_s: float) -> float:
    """How long ago the first unserved call came, so long after it was told."""
    return want.unserved_s + elapsed_s if want.unserved else 0.0
