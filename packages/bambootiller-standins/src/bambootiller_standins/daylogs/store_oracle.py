"""What the weight store's turns of a run could have earned at best.

A turn brings one model that no engine has a copy of. It serves the model, and each
adapter, that somebody still asks for when the load is over, or waits for by then. Given
when the turns begin, the best choice of models is a matching of the greatest weight,
which is found exactly.

What engines can hold, and the time in which they are kept by a load, isn't modelled, so
the result is a lower bound of what stays unserved.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from bambootiller_standins.daylogs.reading import LoggedLine

#: Asked for through the run: so many callers, over so long. Seconds.
ASKED_CALLERS = 4
ASKED_S = 8.0
#: A caller who isn't answered comes back once, so that its calls are so many.
CALLS_UNANSWERED = 2
_ENDS = frozenset({"answered", "refused", "cut", "caller_gone"})


@dataclass(frozen=True, slots=True, order=True)
class Subject:
    """A model, or an adapter of it."""

    model: str
    adapter: str = ""


@dataclass(frozen=True, slots=True)
class Turn:
    """A load from the weight store, in seconds from the start of traffic."""

    begins: float
    ends: float
    model: str = ""


@dataclass(slots=True)
class Run:
    """What the oracle needs of a run.

    ``calls`` are the times at which each subject was called, ``answered`` those of
    them that were answered. ``listed_at`` is when the last engine was listed before
    traffic began.
    """

    calls: dict[Subject, list[float]] = field(default_factory=lambda: defaultdict(list))
    answered: dict[Subject, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    turns: list[Turn] = field(default_factory=list)
    copied: set[str] = field(default_factory=set)
    listed_at: float = 0.0
    full_speed: int = 1

    @classmethod
    def of(cls, lines: Iterable[LoggedLine]) -> Run:
        """Gather it from the lines."""
        run = cls()
        for line in lines:
            run._take(line)
        return run

    def _take(self, line: LoggedLine) -> None:
        fields, event = line.fields, line.event
        if event in _ENDS and fields.get("model"):
            subject = Subject(fields["model"], fields.get("adapter") or "")
            held_ms = fields.get("total_ms", fields.get("held_ms", 0))
            arrived = line.at - held_ms / 1000
            self.calls[subject].append(arrived)
            if event == "answered" and fields["status"] < 400:
                self.answered[subject].append(arrived)
            if (fields.get("plan") or {}).get("copies"):
                self.copied.add(subject.model)
        elif event == "load_ended" and fields["from_store"]:
            begins = line.at - fields["seconds"]
            self.turns.append(Turn(begins, line.at, fields["model"]))
        elif event == "backend_listed" and line.at < 0:
            self.listed_at = line.at
        elif event == "store_load_asked":
            self.full_speed = fields["full_speed"]

    def asked(self) -> list[Subject]:
        """The subjects that were asked for through the run."""
        return sorted(
            subject
            for subject, times in self.calls.items()
            if self._callers(subject) >= ASKED_CALLERS
            and max(times) - min(times) >= ASKED_S
        )

    def _callers(self, subject: Subject) -> float:
        answered = len(self.answered.get(subject, ()))
        return answered + (len(self.calls[subject]) - answered) / CALLS_UNANSWERED

    def unserved(self) -> list[Subject]:
        """Those of them that were never answered."""
        return [subject for subject in self.asked() if not self.answered.get(subject)]

    def depends_on_store(self, subject: Subject) -> bool:
        """Whether nothing but a load from the store could have served the subject."""
        loaded = [turn.begins for turn in self.turns if turn.model == subject.model]
        answered = self.answered.get(subject)
        if answered:
            return bool(loaded) and min(answered) >= min(loaded) - ASKED_S
        return bool(loaded) or subject.model not in self.copied


@dataclass(frozen=True, slots=True)
class Best:
    """The best use of the turns: the model for each, None where one earns nothing, and
    the subjects that stay unserved all the same."""

    models: tuple[str | None, ...]
    unserved: tuple[Subject, ...]


def best_use(run: Run, turns: Sequence[Turn], patience_s: float) -> Best:
    """The choice of models for the turns that leaves the fewest subjects unserved.

    ``patience_s`` is how long a caller waits for a load.
    """
    by_model: dict[str, list[Subject]] = defaultdict(list)
    for subject in run.asked():
        if run.depends_on_store(subject):
            by_model[subject.model].append(subject)

    def served(model: str, turn: Turn) -> list[Subject]:
        return [
            subject
            for subject in by_model[model]
            if max(run.calls[subject]) >= turn.ends - patience_s
        ]

    weights = [
        {model: len(served(model, turn)) for model in by_model} for turn in turns
    ]
    chosen = _matching(weights)
    saved = {
        subject
        for model, turn in zip(chosen, turns)
        if model is not None
        for subject in served(model, turn)
    }
    left = sorted(
        subject
        for subjects in by_model.values()
        for subject in subjects
        if subject not in saved
    )
    return Best(tuple(chosen), tuple(left))


def callers_in_time(run: Run, model: str, turn: Turn, patience_s: float) -> float:
    """How many callers of a model could be served after a turn."""
    total = 0.0
    for subject, times in run.calls.items():
        if subject.model != model:
            continue
        answered = run.answered.get(subject, ())
        in_time = sum(time >= turn.ends - patience_s for time in times)
        served = sum(time >= turn.ends - patience_s for time in answered)
        total += served + (in_time - served) / CALLS_UNANSWERED
    return total


def best_for_callers(
    run: Run, turn: Turn, patience_s: float
) -> tuple[str | None, float]:
    """The model without a copy of which most callers could be served after a turn."""
    models = {subject.model for subject in run.calls} - run.copied
    models = {
        model
        for model in models
        if any(item.model == model for item in run.turns)
        or not any(run.answered.get(item) for item in run.calls if item.model == model)
    }
    counted = {model: callers_in_time(run, model, turn, patience_s) for model in models}
    if not counted:
        return None, 0.0
    best = max(sorted(counted), key=lambda model: counted[model])
    return best, counted[best]


def _matching(weights: Sequence[Mapping[str, int]]) -> list[str | None]:
    """A different model for each turn, with the greatest sum of weights.

    The Hungarian method: turns are added one by one, each along the path that costs the
    others least. A turn may also take a place that earns nothing.
    """
    count = len(weights)
    models = sorted({name for weight in weights for name in weight if weight[name]})
    columns: list[str | None] = [*models, *([None] * count)]
    costs = [
        [-weight.get(name, 0) if name is not None else 0 for name in columns]
        for weight in weights
    ]
    width = len(columns)
    row_price, column_price = [0.0] * (count + 1), [0.0] * (width + 1)
    taken_by, came_from = [0] * (width + 1), [0] * (width + 1)
    for row in range(1, count + 1):
        taken_by[0] = row
        column = 0
        slack, used = [float("inf")] * (width + 1), [False] * (width + 1)
        while taken_by[column]:
            used[column] = True
            at, step, nearest = taken_by[column], float("inf"), 0
            for other in range(1, width + 1):
                if used[other]:
                    continue
                cost = costs[at - 1][other - 1]
                reduced = cost - row_price[at] - column_price[other]
                if reduced < slack[other]:
                    slack[other], came_from[other] = reduced, column
                if slack[other] < step:
                    step, nearest = slack[other], other
            for other in range(width + 1):
                if used[other]:
                    row_price[taken_by[other]] += step
                    column_price[other] -= step
                else:
                    slack[other] -= step
            column = nearest
        while column:
            taken_by[column] = taken_by[came_from[column]]
            column = came_from[column]
    chosen: list[str | None] = [None] * count
    for column in range(1, width + 1):
        if taken_by[column]:
            chosen[taken_by[column] - 1] = columns[column - 1]
    return [
        name if name is not None and weights[turn].get(name) else None
        for turn, name in enumerate(chosen)
    ]


def ideal_turns(run: Run, begins: float, load_s: float, ends: float) -> list[Turn]:
    """Turns one after the other, as many at a time as the store serves at full speed,
    the first at ``begins`` and the last over by ``ends``."""
    turns = []
    while begins + load_s <= ends:
        turns += [Turn(begins, begins + load_s)] * run.full_speed
        begins += load_s
    return turns
