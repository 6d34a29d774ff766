"""The small scenarios, and the arrivals that both sides get.

They are made of the experiments' own settings. The one addition is a kind of arrivals
whose prompts and answers have one length: the models spend time on each token of a
prompt, which the engine stand-in doesn't, and a caller of the real system says how long
its answer may get, which the stand-in then uses up.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

from bambootiller_standins.experiments.arrivals import Arrival, Caller, generator
from bambootiller_standins.experiments.world import Group, ScenarioFile, Sizes, World

#: Tokens of every answer, and of every prompt.
ANSWER_TOKENS = 30
PROMPT_TOKENS = 16
#: Seconds of virtual time before the first arrival, in which the agents' cores learn
#: from their engines that no earlier order can still be on its way.
LEAD_S = 15.0
CUSTOMER = "forge"
CALLER = "pupil"
MODEL_GIB = 20.0
SERVER_GIB = 40.0


class Opening(Caller):
    """``callers`` people open each of ``models`` within ``within_s`` of each ``at``.

    ``models`` are places in the group; each caller asks one question.
    """

    at: tuple[float, ...]
    models: tuple[int, ...]
    callers: int
    within_s: float = 2.0


@generator("opening")
def opening(
    world: World, horizon_s: float, item: dict[str, Any], rng: random.Random
) -> list[Arrival]:
    """Single questions of one length, close together."""
    cfg = Opening.model_validate(item)
    group = world.of_group(cfg.group)
    return [
        Arrival(
            at=at + rng.uniform(0.0, cfg.within_s),
            key=group[place].key,
            adapter="",
            caller=cfg.caller,
            priority=cfg.priority,
            standing=cfg.standing,
            batch=cfg.batch,
            timeout_s=cfg.timeout_s,
            prompt_tokens=PROMPT_TOKENS,
            tokens=ANSWER_TOKENS,
            prefix=rng.getrandbits(63),
            tag=cfg.tag,
        )
        for at in cfg.at
        for place in cfg.models
        for _ in range(cfg.callers)
    ]


@dataclass(frozen=True, slots=True)
class Trial:
    """A scenario and the sizes of the fleet that it runs on."""

    scenario: ScenarioFile
    sizes: Sizes

    @property
    def name(self) -> str:
        """The scenario's name."""
        return self.scenario.name


def make_trial(
    name: str,
    title: str,
    about: str,
    *,
    seconds: float,
    arrivals: dict[str, Any],
    servers: int = 4,
    entries: int = 2,
    models: int = 3,
    max_running: int = 8,
    transfer_s: float = 1.5,
    warm_up_s: float = 1.0,
    full_speed_loads: int = 4,
    idle_second: float = 0.02,
) -> Trial:
    """A trial on a small fleet; ``seconds`` count from the first arrival on."""
    group = Group(
        name="small",
        servers=servers,
        memory_gib=SERVER_GIB,
        models=models,
        model_gib=(MODEL_GIB, MODEL_GIB),
        replicas=(2, 2),
        warm_up_s=(warm_up_s, warm_up_s),
        max_running=max_running,
    )
    sizes = Sizes(
        customer=CUSTOMER,
        entries=entries,
        groups=(group,),
        adapters=0,
        transfer_s=(transfer_s, transfer_s),
        full_speed_loads=full_speed_loads,
        cold_second=1.0,
        idle_second=idle_second,
    )
    later = tuple(LEAD_S + at for at in arrivals.get("at", (0.0,)))
    item = {"kind": "opening", "caller": CALLER, "tag": "burst"} | arrivals
    scenario = ScenarioFile(
        name=name,
        title=title,
        about=about,
        horizon_s=LEAD_S + seconds,
        arrivals=(item | {"at": later},),
    )
    return Trial(scenario, sizes)


TRIALS = (
    make_trial(
        "one-burst",
        "Sixty callers open one idle model",
        "Sixty callers open one idle model within two seconds, through both entries.",
        seconds=12.0,
        arrivals={"models": (0,), "callers": 60},
    ),
    make_trial(
        "two-bursts",
        "Two bursts beyond the store's full speed",
        "Thirty callers each open two idle models within a second. The store gives one "
        "load at full speed, a replica answers four at a time, and the callers have "
        "eight seconds, which some of them need.",
        seconds=12.0,
        arrivals={
            "models": (0, 1),
            "callers": 30,
            "within_s": 1.0,
            "timeout_s": 8.0,
        },
        max_running=4,
        full_speed_loads=1,
    ),
    make_trial(
        "woken-again",
        "A model unloaded and woken three times",
        "Six callers open a model three times, twelve seconds apart. An idle second "
        "costs three times a second of waiting, so that the model is unloaded in "
        "between.",
        seconds=33.0,
        arrivals={
            "at": (0.0, 12.0, 24.0),
            "models": (0,),
            "callers": 6,
            "within_s": 1.0,
        },
        idle_second=3.0,
    ),
)
