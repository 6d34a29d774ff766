"""The demand for one model, and how it compares with the demand for another."""

from __future__ import annotations

from dataclasses import dataclass

#: What a waiting call adds to a model's demand, in calls per second. With a weight of
#: several, a single caller could have a busy model unloaded that has no call for a
#: moment, and all of its callers would wait for it to be loaded again.
WAITING_WEIGHT = 1.0
#: For each period of this many seconds without a served call, a model with unserved
#: calls counts as if one more of its callers waited, so that it isn't passed over
#: forever in favor of models with more demand.
UNSERVED_AGING_S = 4.0
#: A load from the weight store also serves calls that arrive later: as many as arrived
#: in this many seconds recently.
FORECAST_S = 5.0
#: A model for which no call has been served for this many seconds is worth twice as
#: much of the store's time, so that none waits forever behind models with more demand.
STORE_AGING_S = 10.0
#: Each second for which a caller has been held because its model is next counts as this
#: many more callers: if another model went first, the caller would have waited in vain.
WAITED_SECOND_VALUE = 3.0
#: The value of keeping a model without any demand, in calls per second, so that of
#: several such models the one that the most engines hold is evicted first.
MIN_KEEP_VALUE = 0.01
#: How much it matters to keep a model of which another engine has a copy, relative to a
#: model whose only copy is here.
COPIED_KEEP_FACTOR = 0.5


@dataclass(frozen=True, slots=True)
class Demand:
    """The demand for one model, at one entry or at all entries together."""

    #: Calls per second.
    rate: float = 0.0
    #: Calls waiting now, and refused calls whose callers are expected back.
    waiting: int = 0
    #: Engines that hold the model.
    holders: int = 0
    #: Seconds for which the oldest waiting call has waited, 0 if none waits.
    oldest_s: float = 0.0
    #: Engines that have its weights, including those that hold the model.
    copies: int = 0
    #: Seconds until the next waiting call exceeds its deadline, 0 if none is in time.
    next_deadline_s: float = 0.0
    #: Calls per second whose adapter no engine holds.
    adapter_miss_rate: float = 0.0
    #: Calls that ended without an answer since an engine last held the model.
    unserved: float = 0.0
    #: Seconds since the first of these calls.
    unserved_s: float = 0.0
    #: Callers who wait now or are expected back after a refusal; None if the reporting
    #: process doesn't count them.
    callers: float | None = None

    @property
    def awaited(self) -> float:
        """The calls that a load would serve. Calls that ended without an answer are
        among them, and count for more the longer such calls have been coming."""
        if not self.unserved:
            return self.waiting
        return max(self.waiting, self.unserved + self.unserved_s / UNSERVED_AGING_S)

    @property
    def value(self) -> float:
        """How much a load is worth, for comparison between models."""
        return self.rate + WAITING_WEIGHT * self.awaited

    @property
    def expected_callers(self) -> float:
        """The callers that a load from the weight store which starts now can serve:
        those who wait, and those who are expected back. If the reporting process
        doesn't count them, the calls that ended without an answer are the estimate."""
        if self.callers is None:
            return max(self.waiting, self.unserved)
        return self.callers

    @property
    def aged_callers(self) -> float:
        """The expected callers, weighted by how long no call has been served."""
        return self.expected_callers * self._aging

    @property
    def store_load_value(self) -> float:
        """How much a load from the weight store is worth, for comparison between models
        that no engine has a copy of.

        It counts future callers only: those who have given up count for nothing,
        however many they were.
        """
        forecast_calls = FORECAST_S * self.rate
        return (
            self.aged_callers
            + forecast_calls * self._aging
            + WAITED_SECOND_VALUE * self.oldest_s
        )

    @property
    def _aging(self) -> float:
        return 1.0 + self.unserved_s / STORE_AGING_S

    @property
    def value_per_holder(self) -> float:
        """How much it matters that one engine keeps the model. It matters far less with
        each further engine that holds the model, and somewhat less if an engine could
        load it from a copy: a model whose only copy is at an engine can't be used at
        all while a long load blocks that engine."""
        return self.value_with_holders(self.holders)

    def value_with_holders(self, holders: int) -> float:
        """The same if so many engines held the model."""
        copy_factor = COPIED_KEEP_FACTOR if self.copies > max(1, holders) else 1.0
        return copy_factor * (MIN_KEEP_VALUE + self.value) / max(1, holders) ** 2


#: The demand for a model without calls.
NO_DEMAND = Demand()
