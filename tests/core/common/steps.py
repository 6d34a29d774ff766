"""The steps of a randomised run by name, with the numbers that each draws."""

import random

from tests.core.common.world import World

#: A step's name, how often it is drawn, and the bounds of the numbers it takes.
STEPS: dict[str, tuple[int, tuple[int, ...]]] = {
    "arrive": (24, (5, 3, 4, 10)),
    "calm": (4, (4,)),
    "pause": (18, (6, 8)),
    "order_arrives": (18, (8,)),
    "order_answered": (15, (8,)),
    "engine_works": (18, (4, 6)),
    "engine_read": (21, ()),
    "finish": (15, (8, 4)),
    "table_told": (12, (8,)),
    "write_sent": (12, (8,)),
    "write_lands": (9, (8, 4)),
    "answer_lost": (6, (8,)),
    "never_sent": (3, (8,)),
    "engine_answer_crosses": (3, (4,)),
    "engine_silent": (2, ()),
    "engine_restarts": (2, ()),
    "took_over": (1, ()),
    "cancel": (3, (8,)),
    "leave": (1, (6,)),
    "cap": (6, (4, 3)),
    "place": (6, (4, 2)),
    "other_leaves": (3, (4,)),
    "template_changes": (3, (8, 3)),
}

#: How much more often some steps are drawn in the runs of one kind of trouble.
MIXES: tuple[dict[str, int], ...] = (
    {},
    {"took_over": 5, "leave": 6, "order_arrives": -12, "write_lands": -7, "calm": 2},
    {"engine_restarts": 8, "answer_lost": 14, "order_arrives": -10, "pause": 10},
    {"cap": 12, "write_lands": -6, "table_told": -8, "place": 6},
)

LEFT_S = (1.5, 10.0, 30.0, 90.0)
LEAVE_S = (0.0, 5.0, 40.0)


def run_step(world: World, name: str, drawn: list[int]) -> None:
    """Take one step and check everything."""
    match name:
        case "arrive":
            model, adapter, left, priority = drawn
            world.arrive(model, adapter, LEFT_S[left], priority)
        case "pause":
            world.pause(drawn[0], paused=drawn[1] == 0)
        case "engine_works":
            world.engine_works(drawn[0], failing=drawn[1] == 0)
        case "finish":
            world.finish(drawn[0], ok=drawn[1] > 0)
        case "write_lands":
            world.write_lands(drawn[0], answer_lost=drawn[1] == 0)
        case "leave":
            if drawn[0] < len(LEAVE_S):
                world.leave(LEAVE_S[drawn[0]])
        case "place":
            world.place(drawn[0], here=drawn[1] > 0)
        case "template_changes":
            world.template_changes(drawn[0], drawn[1] + 1)
        case _:
            getattr(world, name)(*drawn)
    world.check()


def random_run(seed: int, steps: int) -> list[tuple[str, list[int]]]:
    """A run of ``steps`` steps drawn from ``seed``, with the recovery at its end.

    Raises an AssertionError that names the seed and the step if a property breaks.
    """
    rng = random.Random(seed)
    world = World(fencing=seed % 2 == 1)
    names = list(STEPS)
    mix = MIXES[seed // 2 % len(MIXES)]
    weights = [STEPS[name][0] + mix.get(name, 0) for name in names]
    taken = []
    try:
        for name in rng.choices(names, weights, k=steps):
            drawn = [rng.randrange(bound) for bound in STEPS[name][1]]
            taken.append((name, drawn))
            run_step(world, name, drawn)
        world.recover()
    except Exception as exc:
        report = f"seed {seed}, step {len(taken)} {taken[-1:]}: {exc}"
        raise AssertionError(report) from exc
    return taken
