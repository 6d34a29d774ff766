"""Faults of a whole fleet: a schedule drawn from a seed, and carrying it out.

A schedule is plain data, so that the same seed gives the same faults at the same times.
What they meet in the processes differs from run to run; a failure is replayed by
running its seed again, some times if need be.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

from bambootiller_standins.harness import LinkMode

AGENTS = ("agent-1", "agent-2", "agent-3")
PLAIN = ("plain-1", "plain-2")
ENTRIES = ("entry-1", "entry-2")
PROCESSES = AGENTS + PLAIN + ENTRIES
#: What holds slots and gives orders has the most to break.
OFTEN_AGENTS = AGENTS * 2 + PLAIN + ENTRIES
LINKED = tuple(
    f"{place}/{link}"
    for place in PROCESSES
    for link in ("kv", "rpc", "engine")
    if link != "engine" or place in AGENTS
)

#: One fault in so many begins together with the one before it.
TOGETHER_SHARE = 0.35
LONGEST_GAP = 2.0
SHORTEST, LONGEST = 0.5, 4.0
#: A fault that would meet a busy target is drawn again, so often at most.
REDRAWS = 5
#: A process that is started anew is busy for some time more than its fault lasts.
BUSY_AFTER = 1.0
#: An order that a link holds back is on its way all that time. The fleet's settle time
#: must be longer, as in a real fleet.
LONGEST_HELD = 2.0


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: when it begins and how long it lasts, in seconds; what it meets.

    ``choice`` is a random number for what else is to be drawn."""

    at: float
    kind: str
    target: str
    seconds: float
    choice: int

    def __str__(self) -> str:
        times = f"{self.at:6.2f} s, for {self.seconds:.2f} s"
        return f"{times}: {self.kind} {self.target} ({self.choice})"


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of fault: whom it can meet, how often it is drawn, how it is done."""

    targets: Sequence[str]
    weight: int
    longest: float
    carry_out: Callable[..., Awaitable[None]]


KINDS: dict[str, Kind] = {}


def kind(
    targets: Sequence[str], weight: int = 2, longest: float = LONGEST
) -> Callable[[Callable], Callable]:
    """Enter a coroutine function ``(fleet, fault)`` as the kind of its name."""

    def enter(carry_out: Callable) -> Callable:
        KINDS[carry_out.__name__] = Kind(targets, weight, longest, carry_out)
        return carry_out

    return enter


def draw(seed: int, steps: int) -> tuple[Fault, ...]:
    """The schedule of a seed, in order of time."""
    rng = random.Random(f"faults {seed}")
    found: list[Fault] = []
    at = 0.5
    for number in range(steps):
        if number and rng.random() >= TOGETHER_SHARE:
            at += rng.uniform(0.3, LONGEST_GAP)
        fault = _draw_one(rng, at)
        for _ in range(REDRAWS):
            if not _meets_busy(fault, found):
                break
            fault = _draw_one(rng, at)
        found.append(fault)
    return tuple(found)


def _draw_one(rng: random.Random, at: float) -> Fault:
    names = list(KINDS)
    (name,) = rng.choices(names, [KINDS[name].weight for name in names])
    drawn = KINDS[name]
    target = rng.choice(drawn.targets)
    seconds = rng.uniform(SHORTEST, drawn.longest)
    return Fault(round(at, 2), name, target, round(seconds, 2), rng.randrange(1000))


def _meets_busy(fault: Fault, earlier: Sequence[Fault]) -> bool:
    return any(
        one.target == fault.target and one.at + one.seconds + BUSY_AFTER > fault.at
        for one in earlier
    )


async def carry_out(fleet, schedule: Sequence[Fault]) -> None:
    """Carry out a schedule; faults that overlap run side by side.

    A fault whose target is still under another one is left out, since a process can't
    be killed twice at once. The fleet notes both.
    """
    busy: set[str] = set()

    async def one(fault: Fault) -> None:
        if fault.target in busy:
            fleet.note(f"left out, target busy: {fault}")
            return
        busy.add(fault.target)
        fleet.note(f"begin {fault}")
        try:
            await KINDS[fault.kind].carry_out(fleet, fault)
        except Exception as exc:
            fleet.violation(f"fault {fault} couldn't be carried out: {exc!r}")
        finally:
            busy.discard(fault.target)
            fleet.note(f"end   {fault}")

    loop = asyncio.get_running_loop()
    began = loop.time()
    async with asyncio.TaskGroup() as group:
        for fault in schedule:
            await asyncio.sleep(max(0.0, began + fault.at - loop.time()))
            group.create_task(one(fault))


@kind(OFTEN_AGENTS, weight=5)
async def kill(fleet, fault):
    """SIGKILL, and a start anew after a while."""
    await fleet.kill(fault.target)
    await asyncio.sleep(fault.seconds / 4)
    await fleet.restart(fault.target)


@kind(OFTEN_AGENTS, weight=7)
async def pause(fleet, fault):
    """SIGSTOP, then SIGCONT."""
    child = fleet.child(fault.target)
    child.pause()
    await asyncio.sleep(fault.seconds)
    child.resume()


@kind(PROCESSES, weight=4)
async def planned_stop(fleet, fault):
    """SIGTERM, which must end well, and a start anew."""
    await fleet.planned_stop(fault.target)
    await asyncio.sleep(fault.seconds / 4)
    await fleet.restart(fault.target)


@kind(tuple(f"{place}/engine process" for place in AGENTS), weight=2)
async def engine_crash(fleet, fault):
    """The engine's process dies with all that it held, and comes back empty."""
    place = fault.target.split("/")[0]
    await fleet.crash_engine(place, fault.seconds / 4)


@kind(AGENTS, weight=2)
async def reclaim(fleet, fault):
    """The platform takes instance and engine away, and replaces them."""
    await fleet.reclaim(fault.target)
    await asyncio.sleep(fault.seconds / 2)
    await fleet.replace(fault.target)


@kind(LINKED, weight=3)
async def cut_link(fleet, fault):
    """Connections are reset, new ones refused."""
    await _link(fleet, fault, LinkMode.CUT)


@kind(LINKED, weight=3, longest=LONGEST_HELD)
async def blackhole_link(fleet, fault):
    """Nothing gets through, and nobody is told."""
    await _link(fleet, fault, LinkMode.BLACKHOLE)


@kind(LINKED, weight=2, longest=LONGEST_HELD)
async def hold_answers(fleet, fault):
    """What is sent arrives; its answer doesn't."""
    await _link(fleet, fault, LinkMode.HOLD_ANSWERS)


@kind(LINKED, weight=2)
async def slow_link(fleet, fault):
    """Each piece is held back."""
    await _link(fleet, fault, LinkMode.OPEN, delay_ms=20 + fault.choice % 300)


async def _link(fleet, fault, mode, **options):
    place, name = fault.target.split("/")
    link = fleet.link(place, name)
    link.set(mode, **options)
    await asyncio.sleep(fault.seconds)
    link.set(LinkMode.OPEN)


@kind(("kv",), weight=3)
async def service_down(fleet, fault):
    """The key-value service closes connections without an answer."""
    await _control(fleet, fault, mode="down")


@kind(("kv",), weight=2)
async def service_slow(fleet, fault):
    """The key-value service takes its time."""
    await _control(fleet, fault, mode="slow", delay_ms=50 + fault.choice)


@kind(("kv",), weight=3)
async def service_loses_answers(fleet, fault):
    """Writes take effect and their answers are lost."""
    await _control(fleet, fault, mode="lose_answers", count=1 + fault.choice % 5)


@kind(("list",), weight=2)
async def list_down(fleet, fault):
    """The instance list doesn't answer."""
    await _control(fleet, fault, mode="down")


@kind(("certificates",), weight=2)
async def answers_lost(fleet, fault):
    """The plain service runs calls, and their answers are lost."""
    await _control(fleet, fault, mode="lose_answers", count=1 + fault.choice % 3)


async def _control(fleet, fault, **order):
    await fleet.control(fault.target, **order)
    await asyncio.sleep(fault.seconds)
    await fleet.control(fault.target, mode="up")


@kind(("weights",), weight=2)
async def weights_slow(fleet, fault):
    """Loads from the weight store take long."""
    await fleet.control("weights", speed=0.1 + fault.choice / 4000)
    await asyncio.sleep(fault.seconds)
    await fleet.control("weights", speed=1.0)


@kind(("operators",), weight=4)
async def operators(fleet, fault):
    """Two operators change replicas at the same time."""
    await fleet.operators.race(fault.choice)
