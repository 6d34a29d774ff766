"""The demand for one model, and how it compares with that for another."""

from __future__ import annotations

from dataclasses import dataclass

#: What a call that waits now adds to a model's demand, against its calls per second. If
#: it were several, a single caller would have a busy model unloaded that has no call
#: for a moment, and all of its callers would wait for it to come back.
WAITING_WEIGHT = 1.0
#: A model that nobody could be served of for this long counts as if one more of its
#: callers waited. So none is passed over for ever by others that are asked for more.
#: Seconds.
UNSERVED_AGING_S = 4.0
#: The calls to come that a load from the weight store is for, besides the callers who
#: are there: as many as have come lately in this time. Seconds.
FORECAST_S = 5.0
#: A model that nobody could be served of for this long is worth twice the store's time.
#: So none waits for ever behind others that are asked for more. Seconds.
STORE_AGING_S = 10.0
#: A caller who is held for a second because its model is next counts as so many more:
#: if another went first it would have waited for nothing.
WAITED_SECOND_VALUE = 3.0
#: What keeping a model is worth without any demand for it, so that of models nobody
#: asks for the one that several engines hold goes first. Calls a second.
MIN_KEEP_VALUE = 0.01
#: How much it matters to keep a model of which another engine has a copy, against one
#: whose only copy is here.
COPIED_KEEP_FACTOR = 0.5


@dataclass(frozen=True, slots=True)
class Demand:
    """The demand for one model, of one entry or of all."""

    #: Calls a second.
    rate: float = 0.0
    #: Calls that wait now, and refused ones whose callers are due back.
    waiting: int = 0
    #: Engines that hold it.
    holders: int = 0
    #: How long the first of the calls that wait now has waited, 0 if none does; in
    #: seconds.
    oldest_s: float = 0.0
    #: Engines that have its weights, those that hold it included.
    copies: int = 0
    #: How long the next of the waiting calls to be late is still in time, 0 if none is.
    #: Seconds.
    in_time_s: float = 0.0
    #: Calls a second that find their adapter at no engine.
    adapter_rate: float = 0.0
    #: Calls that ended without an answer since an engine held it last.
    unserved: float = 0.0
    #: How long ago the first of these came. Seconds.
    unserved_s: float = 0.0
    #: Callers who wait now or are expected back after a refusal, None if whoever told
    #: the demand doesn't count them.
    callers: float | None = None

    @property
    def awaited(self) -> float:
        """The calls that a load is for, those among them that were refused, and the
        longer for the time that these have come in vain."""
        if not self.unserved:
            return self.waiting
        return max(self.waiting, self.unserved + self.unserved_s / UNSERVED_AGING_S)

    @property
    def value(self) -> float:
        """How much a load is worth, to compare models."""
        return self.rate + WAITING_WEIGHT * self.awaited

    @property
    def expected_callers(self) -> float:
        """The callers who are there for a load from the weight store that begins now:
        those who wait, and those who come back. Where they weren't counted, the calls
        that ended without an answer stand for them."""
        if self.callers is None:
            return max(self.waiting, self.unserved)
        return self.callers

    @property
    def aged_callers(self) -> float:
        """The same, and the more the longer nobody has been served."""
        return self.expected_callers * self._aging

    @property
    def store_load_value(self) -> float:
        """How much a turn of the weight store is worth for the model, to compare those
        that no engine has a copy of.

        It is for callers to be: those who have left count for nothing, however many
        they were.
        """
        to_come = FORECAST_S * self.rate
        return (
            self.aged_callers
            + to_come * self._aging
            + WAITED_SECOND_VALUE * self.oldest_s
        )

    @property
    def _aging(self) -> float:
        return 1.0 + self.unserved_s / STORE_AGING_S

    @property
    def value_per_holder(self) -> float:
        """How much it matters that one engine keeps the model. Every further engine
        that holds it as well makes it matter far less, and one that could load it from
        a copy somewhat less: unloaded for a load that takes long, a model with its only
        copy there can't be had at all meanwhile."""
        return self.value_with_holders(self.holders)

    def value_with_holders(self, holders: int) -> float:
        """The same if so many engines held the model."""
        others = COPIED_KEEP_FACTOR if self.copies > max(1, holders) else 1.0
        return others * (MIN_KEEP_VALUE + self.value) / max(1, holders) ** 2


#: What a model that nobody asks for is wanted.
NO_DEMAND = Demand()
