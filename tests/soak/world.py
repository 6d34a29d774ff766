"""The programs, the stand-ins and the paths between them, and who calls."""

import asyncio
import json
from pathlib import Path

import aiohttp
from bambootiller_platform_standins.replica import StandinReplica

from bambootiller_standins.harness import quiet_port
from tests.adapter.common.fleet import Fleet, wait_until
from tests.adapter.cover.test_documents import MODEL, ROUTE, SERVICE
from tests.soak.proxy import Proxy

HOST = "classes.example"
MODELS = ("tutor", "poet", "critic")
SIZE_MB = MODEL["weights-mb"]
MEMORY_MB = SERVICE["engine"]["weights-mb"]
EVENTS = 5
#: How long a replica serves after it has restarted while it leaves. Seconds; calls are
#: counted from 3 s after its announcement on.
LEAVING_S = 5.0
#: What the route gives a call. Seconds.
TIMEOUT_S = 4.0
#: The body of a request that ends each engine that runs it.
POISON = b"poison"
#: The first part of each prompt, and one that ends each engine that runs it.
FIRST_PART, POISON_PART = "f1157", "badbad"

_MODELS = [{**MODEL, "name": name, "load-s": 1.0} for name in MODELS]
_SERVICES = [
    {**SERVICE, "engine": {**SERVICE["engine"], "models": _MODELS}},
    {"name": "plain"},
]


def _route(name, kind, **fields):
    timeout_ms = round(TIMEOUT_S * 1000)
    fields = {"service": "plain", "max-attempts": 2, **fields}
    prefix = f"/{name}/"
    return {
        "name": name,
        "host": HOST,
        "path-prefix": prefix,
        "kind": kind,
        "timeout-ms": timeout_ms,
        **fields,
    }


ROUTES = [
    _route("safe", "safe"),
    _route("unsafe", "unsafe"),
    {**ROUTE, **_route("stream", "streaming", service="llm")},
]


class SoakReplica(StandinReplica):
    """Answers with the caller's id, so that an answer of somebody else's shows.

    A poison request or part ends it; while it is down it closes each connection at
    once, as its port may be needed by other faults meanwhile.
    """

    def __init__(self, *args):
        super().__init__(*args)
        self.poison = POISON
        self.poison_parts = {POISON_PART}
        self.poison_times = []
        self.crash_times = []
        #: The same of requests that have the bad part.
        self.part_times = []
        self.part_crash_times = []
        self._ended_by_part = False
        #: Calls that arrived, by time and id, and the limits that it named: from when,
        #: until when, how many a second.
        self.arrived = []
        self.named = []
        self._down = False
        self.run_times = []
        self.left_at = None
        self.sizes_mb = dict.fromkeys(MODELS, SIZE_MB)
        self.memory_mb = MEMORY_MB
        self.on_disk |= set(MODELS)

    async def crash(self):
        self.crashes += 1
        times = self.part_crash_times if self._ended_by_part else self.crash_times
        times.append(asyncio.get_running_loop().time())
        self._down = True
        self.restart()
        await asyncio.sleep(self.down_s)
        self._down = False
        self.on_start()

    async def _handle(self, request):
        if self._down:
            raise ConnectionResetError
        return await super()._handle(request)

    def _reply(self, request):
        at = asyncio.get_running_loop().time()
        self.arrived.append((at, request.headers.get("x-request-attempt", "")))
        return super()._reply(request)

    def _poisoned(self, request):
        by_part = request.body != POISON
        times = self.part_times if by_part else self.poison_times
        times.append(asyncio.get_running_loop().time())
        if self._crashing is None or self._crashing.done():
            self._ended_by_part = by_part
        return super()._poisoned(request)

    def name_limit(self, per_s):
        """Name a limit from now on."""
        self.limit = per_s
        self.named.append((asyncio.get_running_loop().time(), float("inf"), per_s))

    def name_none(self):
        """Name no limit any more."""
        self.limit = None
        began, _, per_s = self.named.pop()
        self.named.append((began, asyncio.get_running_loop().time(), per_s))

    def answer(self, request, **fields):
        body = request.headers.get("x-request-attempt", "").encode()
        self.run_times.append(asyncio.get_running_loop().time())
        return super().answer(request, body=body, **fields)

    def stream(self, request, **fields):
        attempt = request.headers.get("x-request-attempt", "").encode()
        reply = super().stream(request, **fields)
        first = EVENTS - len(reply.pieces) + 1
        reply.pieces = tuple(
            b"id: %d\ndata: %s\n\n" % (number, attempt)
            for number in range(first, EVENTS + 1)
        )
        return reply


class World(Fleet):
    """A fleet whose every connection goes through a proxy.

    ``gone`` are replicas that have ended, with what they ran; ``in_force`` is the
    version that the operator wrote last, ``ended`` what ended without being told to.
    """

    def __init__(self):
        super().__init__()
        self.proxies = {}
        self.entries = {}
        self.agents = {}
        self.gone = []
        self.in_force = 0
        self.ended = []
        #: The tries of the poison request, and requests with the bad part.
        self.poisonings = []
        self.part_poisonings = []
        self._starts = 0
        self._ports = (quiet_port(), quiet_port())

    async def begin(self, entries=2, engines=2, plain=2):
        """Start all of it."""
        self.change_config()
        for number in range(engines):
            await self.start_engine(f"llm{number}", number)
        for number in range(plain):
            await self.start_plain(f"plain{number}", engines + number)
        for number in range(entries):
            await self.start_entry(f"e{number}")
        for entry in self.entries.values():
            await self.wait_ready(entry)

    async def close(self):
        """Stop the proxies; the fleet's own exit stops the rest."""
        for proxy in self.proxies.values():
            await proxy.stop()

    def change_config(self):
        """Have the operator write the next version."""
        self.in_force += 1
        self.configure(self.in_force, routes=ROUTES, services=_SERVICES)

    async def start_engine(self, name, number):
        """Start an engine with its agent; both are reached through proxies."""
        replica = await self._start_replica(name, number, "llm")
        inner, outer = f"127.0.2.{number + 1}", f"127.0.1.{number + 1}"
        proxy = Proxy(inner, self._ports[0])
        await proxy.start(outer, self._ports[0])
        self.proxies[f"agent {name}"] = proxy
        address = json.loads(self._entry_of(name))["address"]
        beside = {"app": address, "service": replica.service}
        document = self._settings_document(f"a-{name}", inner, beside)
        document["platform"] = {"address": await self._store_path(f"a-{name}")}
        self.agents[name] = await self.start("agent", document)

    async def start_plain(self, name, number):
        """Start a replica of the plain service."""
        await self._start_replica(name, number, "plain")

    async def start_entry(self, name):
        """Start an entry, or start it again with the same addresses."""
        known = self.entries.get(name)
        if known is not None:
            self.entries[name] = await self.start("entry", known.document)
            return
        parts = ("front", "ready", "control")
        listen = {part: f"127.0.0.1:{quiet_port()}" for part in parts}
        seeds = [entry.document["listen"]["control"] for entry in self.entries.values()]
        fields = {"listen": listen, "seeds": seeds}
        document = self._settings_document(name, "127.0.0.1", fields)
        document["platform"] = {"address": await self._store_path(name)}
        self.entries[name] = await self.start("entry", document)

    async def restart(self, name, signum):
        """End a program and start it again at once, as its platform would."""
        program = self.program(name)
        if program.process.returncode is not None:
            self.ended.append(f"{name} ended by itself: {program.process.returncode}")
        await program.stop(signum)
        if name in self.entries:
            await self.start_entry(name)
        else:
            self.agents[name] = await self.start("agent", program.document)
        await self._launched(self.program(name))

    def program(self, name):
        """The entry or the agent of that name."""
        return self.entries.get(name) or self.agents[name]

    def signal(self, name, signum):
        """Signal a program; notes it if the program has ended by itself."""
        program = self.program(name)
        if program.process.returncode is None:
            program.process.send_signal(signum)
        else:
            self.ended.append(f"{name} ended by itself: {program.process.returncode}")

    async def _launched(self, program):
        """Wait until the program's own code runs: the interpreter's first moments are
        out of its hands."""
        maps = Path(f"/proc/{program.process.pid}/maps")

        async def loading():
            return "pydantic" in maps.read_text()

        await wait_until(loading, "the program's code runs", pause_s=0.005)

    async def crash(self, name):
        """A replica ends at once; its next start at the same address is empty."""
        held = self.replicas[name]
        await held.server.stop()
        await self._renew(name)

    async def restart_replica(self, name, down_s, unlisted_s):
        """A replica is down for a moment, and listed a while after it is back. Its id
        stays, and late orders to the start before reach the next one."""
        held = self.replicas[name]
        await held.server.stop()
        held.restart()
        await asyncio.sleep(down_s)
        await held.server.start("127.0.0.1", held.server.port)
        await asyncio.sleep(unlisted_s)
        self.store.put(f"servers/{held.instance}", self._entry_of(name))

    async def release(self, name):
        """A replica says that it leaves, goes on for a while, and is replaced."""
        held = self.replicas[name]
        self.store.put(f"servers/{held.instance}", self._entry_of(name, "draining"))
        held.left_at = asyncio.get_running_loop().time()
        await asyncio.sleep(4.0)
        await held.server.stop()
        await self._renew(name)

    async def leave_and_restart(self, name, ends_after_s, down_s):
        """A replica says that it leaves, ends soon, and serves again under its id until
        it is replaced."""
        held = self.replicas[name]
        models = {model: set(adapters) for model, adapters in held.held.items()}
        self.store.put(f"servers/{held.instance}", self._entry_of(name, "draining"))
        held.left_at = asyncio.get_running_loop().time()
        await asyncio.sleep(ends_after_s)
        await held.server.stop()
        held.restart()
        held.held.update(models)
        await asyncio.sleep(down_s)
        await held.server.start("127.0.0.1", held.server.port)
        await asyncio.sleep(LEAVING_S)
        await held.server.stop()
        await self._renew(name)

    def all_replicas(self):
        """Those of now and those that have ended."""
        return [*self.replicas.values(), *self.gone]

    async def _renew(self, name):
        held = self.replicas[name]
        self.store.remove(f"servers/{held.instance}")
        self.gone.append(held)
        await asyncio.sleep(0.3)
        fresh = self._new_replica(name, held.service)
        fresh.accepted = 0
        await fresh.server.start("127.0.0.1", held.server.port)
        self.replicas[name] = fresh
        self.store.put(f"servers/{fresh.instance}", self._entry_of(name))

    def _new_replica(self, name, service):
        self._starts += 1
        replica = SoakReplica(f"{name}-{self._starts}", service)
        replica.on_start = lambda: self._list_again(name, replica)
        return replica

    def _list_again(self, name, replica):
        if self.replicas.get(name) is replica and replica.left_at is None:
            self.store.put(f"servers/{replica.instance}", self._entry_of(name))

    async def _start_replica(self, name, number, service):
        replica = self._new_replica(name, service)
        await replica.server.start("127.0.0.1")
        proxy = Proxy("127.0.0.1", replica.server.port)
        await proxy.start(f"127.0.1.{number + 1}")
        self.proxies[f"replica {name}"] = proxy
        proxy.host = f"127.0.1.{number + 1}"
        self.replicas[name] = replica
        self.store.put(f"servers/{replica.instance}", self._entry_of(name))
        return replica

    def _entry_of(self, name, state="ready"):
        proxy = self.proxies[f"replica {name}"]
        document = json.loads(self.replicas[name].entry(state))
        document["address"] = f"{proxy.host}:{proxy.port}"
        return json.dumps(document).encode()

    async def _store_path(self, name):
        host, _, port = self.store.server.address.rpartition(":")
        proxy = Proxy(host, int(port))
        await proxy.start("127.0.0.1")
        self.proxies[f"store {name}"] = proxy
        return f"127.0.0.1:{proxy.port}"


class Attempt:
    """One call of a client and what became of it; times are the loop's."""

    def __init__(self, attempt, kind, entry, sent_at):
        self.id = attempt
        self.kind = kind
        self.entry = entry
        self.sent_at = sent_at
        self.ended_at = None
        self.status = None
        self.body = b""
        self.come_back_s = None
        self.error = None


class Client:
    """Calls one entry again and again on a connection that it keeps."""

    def __init__(self, world, name, number, rng):
        self._world = world
        self._name = name
        self._number = number
        self._rng = rng
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=3 * TIMEOUT_S)
        )
        self.attempts = []

    async def run(self, stop):
        """Call until ``stop`` is set."""
        while not stop.is_set():
            attempt = await self.call(self._rng.choice(("safe", "unsafe", "stream")))
            pause = 0.02 if attempt.status == 200 else 0.2
            await asyncio.sleep(min(attempt.come_back_s or pause, 1.0))

    async def call(self, kind, body=b"b", parts=()):
        """One call; ``parts`` are those of its prompt behind the first."""
        loop = asyncio.get_running_loop()
        attempt_id = f"{self._name}-{self._number}-{len(self.attempts)}"
        attempt = Attempt(attempt_id, kind, self._name, loop.time())
        self.attempts.append(attempt)
        headers = {"Host": HOST, "X-Request-Attempt": attempt_id}
        headers["X-Deadline-Ms"] = str(round(TIMEOUT_S * 1000))
        if kind == "stream":
            headers["X-Model"] = self._rng.choice(MODELS)
            prompt = (FIRST_PART, *parts, attempt_id.encode().hex())
            headers["X-Prompt-Prefix"] = ",".join(f"{part}:9" for part in prompt)
        listen = self._world.entries[self._name].document["listen"]["front"]
        url = f"http://{listen}/{kind}/x"
        try:
            async with self._session.post(url, headers=headers, data=body) as resp:
                attempt.status = resp.status
                if "retry-after" in resp.headers:
                    attempt.come_back_s = float(resp.headers["retry-after"])
                attempt.body = await resp.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            attempt.error = repr(exc)
        attempt.ended_at = loop.time()
        return attempt

    async def close(self):
        """Close the kept connection."""
        await self._session.close()
