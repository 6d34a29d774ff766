"""The faults of the soak, registered by name; each injures and mends."""

import asyncio
import random
import signal
from dataclasses import dataclass

from bambootiller_platform_standins.httpd import Reply
from bambootiller_platform_standins.store import FailureMode

from tests.soak.proxy import Mode
from tests.soak.world import POISON, POISON_PART, Client

FAULTS = {}
#: The faults of which the first seeds drew. A seed draws others if there are more to
#: draw from, so seeds that once failed go on with those that they had.
FIRST_FAULTS = (
    "config",
    "crash",
    "garble",
    "history",
    "kill",
    "late orders",
    "path",
    "pause",
    "release",
    "reload",
    "reset",
    "stop",
    "store",
)


#: Those that seeds drew from next.
SECOND_FAULTS = (*FIRST_FAULTS, "poison", "restart")
#: And those next.
THIRD_FAULTS = (*SECOND_FAULTS, "limit", "poison part")
FOURTH_FAULTS = (*THIRD_FAULTS, "silence")


def fault(name, planned=False):
    """Register a fault. One that is ``planned`` may cost no call its answer."""

    def register(function):
        FAULTS[name] = (function, planned)
        return function

    return register


@dataclass
class Injury:
    """One fault, from its beginning until it was mended; times are the loop's."""

    name: str
    on: str
    planned: bool
    began: float
    ended: float = float("inf")


class Surgeon:
    """Injures a world for a while, several faults at a time.

    The same seed draws the same faults at the same times; what they meet depends on
    the machine.
    """

    def __init__(self, world, seed, faults=None):
        self._world = world
        self._names = sorted(faults or FAULTS)
        self._rng = random.Random(seed)
        self._busy = set()
        self._tasks = []
        self.injuries = []

    async def run(self, seconds):
        """Injure for ``seconds``, then mend everything."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            await asyncio.sleep(self._rng.uniform(0.1, 1.0))
            name = self._rng.choice(self._names)
            draw = random.Random(self._rng.random())
            self._tasks.append(asyncio.create_task(self._injure(name, draw)))
        await asyncio.gather(*self._tasks)

    async def _injure(self, name, rng):
        function, planned = FAULTS[name]
        loop = asyncio.get_running_loop()
        target = function.targets(self._world, rng)
        if target in self._busy:
            return
        self._busy.add(target)
        injury = Injury(name, target, planned, loop.time())
        self.injuries.append(injury)
        try:
            await function(self._world, target, rng)
        finally:
            self._busy.discard(target)
            injury.ended = loop.time()


def on(choose):
    """What a fault strikes, as a function of the world and a draw."""

    def mark(function):
        function.targets = choose
        return function

    return mark


def _entry(world, rng):
    return rng.choice(sorted(world.entries))


def _program(world, rng):
    return rng.choice(sorted([*world.entries, *world.agents]))


def _replica(world, rng):
    return rng.choice(sorted(world.replicas))


def _path(world, rng):
    return rng.choice(sorted(world.proxies))


def _poison_request(world, rng):
    return "the poison request"


def _poison_part(world, rng):
    return "the poison part"


def _store(world, rng):
    return "the store"


@fault("path")
@on(_path)
async def injured_path(world, target, rng):
    """Connections of one path are slow, silent or cut one way, old and new ones."""
    proxy = world.proxies[target]
    proxy.mode = rng.choice([mode for mode in Mode if mode is not Mode.WHOLE])
    await asyncio.sleep(rng.uniform(0.2, 4.0))
    proxy.mode = Mode.WHOLE


@fault("reset")
@on(_path)
async def reset(world, target, rng):
    """All connections of one path are reset, some times in a row."""
    for _ in range(rng.randint(1, 3)):
        world.proxies[target].reset_all()
        await asyncio.sleep(rng.uniform(0.05, 0.5))


@fault("kill")
@on(_program)
async def kill(world, target, rng):
    """A program is killed and starts again."""
    await world.restart(target, signal.SIGKILL)
    await asyncio.sleep(rng.uniform(0.0, 0.5))


@fault("stop", planned=True)
@on(_program)
async def stop(world, target, rng):
    """A program is asked to end, and starts again."""
    await world.restart(target, signal.SIGTERM)
    await asyncio.sleep(rng.uniform(0.0, 0.5))


@fault("reload", planned=True)
@on(_program)
async def reload(world, target, rng):
    """A program is told to read its settings again, in series."""
    for _ in range(rng.randint(1, 4)):
        world.signal(target, signal.SIGHUP)
        await asyncio.sleep(rng.uniform(0.0, 0.3))


@fault("pause")
@on(_program)
async def pause(world, target, rng):
    """A program stands still for a while."""
    world.signal(target, signal.SIGSTOP)
    await asyncio.sleep(rng.uniform(0.3, 3.0))
    world.signal(target, signal.SIGCONT)


@fault("crash")
@on(_replica)
async def crash(world, target, rng):
    """A replica ends and starts again, empty, at the same address."""
    await world.crash(target)


@fault("restart")
@on(_replica)
async def restart(world, target, rng):
    """A replica starts again, empty, under its id, within a heartbeat."""
    await world.restart_replica(target, rng.uniform(0.0, 0.3), rng.uniform(0.0, 0.6))


@fault("silence", planned=True)
@on(_replica)
async def silence(world, target, rng):
    """A replica reads nothing and sends nothing for a moment, and goes on."""
    server = world.replicas[target].server
    server.pause()
    try:
        await asyncio.sleep(rng.uniform(0.8, 1.5))
    finally:
        server.resume()


@fault("release", planned=True)
@on(_replica)
async def release(world, target, rng):
    """A replica is replaced as planned."""
    await world.release(target)


@fault("leave and restart")
@on(_replica)
async def leave_and_restart(world, target, rng):
    """A replica says that it leaves, ends, and starts again under its id with what it
    held. Its registration still says that it leaves."""
    await world.leave_and_restart(target, rng.uniform(0.0, 1.5), rng.uniform(0.0, 0.3))


@fault("garble")
@on(_replica)
async def garble(world, target, rng):
    """Some answers of a replica are wrong, after a run or without one."""
    replica = world.replicas[target]
    wrong = (
        lambda req: replica.answer(req, status=500),
        lambda req: replica.answer(req, cut=True),
        lambda req: replica.stream(req, cut=True),
        lambda req: replica.not_executed_reply(req),
        lambda req: Reply(200, {}, (b"not signed",)),
        lambda req: replica.answer(req, bytes_after=b"HTTP/1.1 200 OK\r\n\r\nextra"),
    )
    for _ in range(rng.randint(1, 6)):
        replica.next_replies.append(rng.choice(wrong))
        await asyncio.sleep(rng.uniform(0.0, 0.3))
    # Left behind, they would spoil calls long after this fault counts as mended.
    replica.next_replies.clear()


@fault("late orders")
@on(_replica)
async def late_orders(world, target, rng):
    """Orders get no answer and are carried out late."""
    replica = world.replicas[target]
    replica.late_orders = rng.randint(1, 3)
    replica.late_s = rng.uniform(0.5, 3.0)
    await asyncio.sleep(1.0)
    replica.late_orders = 0


@fault("poison")
@on(_poison_request)
async def poison(world, target, rng):
    """A request that ends engines is sent again and again, at any entry."""
    for number in range(rng.randint(4, 10)):
        name = rng.choice(sorted(world.entries))
        client = Client(world, name, f"poison-{len(world.poisonings)}", rng)
        world.poisonings.append(await client.call("stream", POISON))
        await client.close()
        await asyncio.sleep(rng.uniform(0.1, 0.8))


@fault("poison part")
@on(_poison_part)
async def poison_part(world, target, rng):
    """Requests with a part that ends engines, no two alike, come at any entry."""
    for _ in range(rng.randint(24, 36)):
        name = rng.choice(sorted(world.entries))
        number = len(world.part_poisonings)
        client = Client(world, name, f"part-{number}", rng)
        body = b"part %d" % number
        attempt = await client.call("stream", body, (POISON_PART,))
        world.part_poisonings.append(attempt)
        await client.close()
        await asyncio.sleep(rng.uniform(0.1, 0.5))


@fault("limit")
@on(_replica)
async def limit(world, target, rng):
    """A replica names how many calls a second it takes."""
    replica = world.replicas[target]
    replica.name_limit(round(rng.uniform(0.5, 4.0), 1))
    await asyncio.sleep(rng.uniform(4.0, 9.0))
    replica.name_none()


@fault("store")
@on(_store)
async def store(world, target, rng):
    """The store is busy, silent, or loses answers."""
    kinds = [kind for kind in FailureMode if kind is not FailureMode.NONE]
    world.store.failure_mode = rng.choice(kinds)
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    world.store.failure_mode = FailureMode.NONE


@fault("history")
@on(_store)
async def history(world, target, rng):
    """The store forgets its history, with changes before and after."""
    world.change_config()
    world.store.compact_history()
    world.change_config()


@fault("config", planned=True)
@on(_store)
async def config(world, target, rng):
    """The operator changes the configuration in quick succession."""
    for _ in range(rng.randint(1, 4)):
        world.change_config()
        await asyncio.sleep(rng.uniform(0.0, 0.4))
