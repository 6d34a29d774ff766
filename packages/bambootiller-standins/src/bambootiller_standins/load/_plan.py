"""What a load run sends: who asks what of whom, and when."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

MS = 0.001


@dataclass(frozen=True, slots=True)
class Caller:
    """A caller's name in the report and its key; an empty key sends no header."""

    name: str
    key: str


ANONYMOUS = Caller("anonymous", "")


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadPlan:
    """An open-loop run: requests leave at random times, whatever became of earlier
    ones.

    It ends after *count* requests or *seconds*, whichever is first, and then waits at
    most *grace_seconds* for answers that are due. The same seed sends the same
    requests. *customer* is whose models they are when the addresses are entries; an
    engine by itself needs none.

    >>> plan = LoadPlan(urls=("http://127.0.0.1:8080",), models=("tutor",), rate=20)
    """

    urls: tuple[str, ...]
    models: tuple[str, ...]
    callers: tuple[Caller, ...] = (ANONYMOUS,)
    rate: float = 10.0
    count: int = 100
    seconds: float = 60.0
    grace_seconds: float = 30.0
    seed: int = 1
    stream_share: float = 1.0
    chat: bool = True
    max_tokens: int = 16
    prompts: int = 50
    customer: str = ""
    timeout_ms: int | None = None

    def check(self) -> None:
        """Raises ``ValueError`` naming the argument, its value and what is allowed."""
        for name in ("urls", "models", "callers"):
            if not getattr(self, name):
                raise ValueError(f"{name} is empty; at least one is needed")
        for name in ("rate", "count", "seconds", "max_tokens", "prompts"):
            value = getattr(self, name)
            if value <= 0:
                raise ValueError(f"{name} is {value}; it must be above 0")
        if not 0 <= self.stream_share <= 1:
            share = self.stream_share
            raise ValueError(f"stream_share is {share}; it must lie between 0 and 1")


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """One request; *at* is seconds after the start of the run."""

    number: int
    at: float
    url: str
    model: str
    caller: Caller
    prompt: str
    stream: bool


def planned_requests(plan: LoadPlan) -> Iterator[PlannedRequest]:
    """Yields the requests of a run in the order in which they leave."""
    rng = random.Random(plan.seed)
    at = 0.0
    for number in range(plan.count):
        at += rng.expovariate(plan.rate)
        if at > plan.seconds:
            return
        yield PlannedRequest(
            number=number,
            at=at,
            url=rng.choice(plan.urls),
            model=rng.choice(plan.models),
            caller=rng.choice(plan.callers),
            prompt=f"question {rng.randrange(plan.prompts)} of seed {plan.seed}",
            stream=rng.random() < plan.stream_share,
        )
