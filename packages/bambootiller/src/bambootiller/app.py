"""The application object: what a process owns, and the order of its life.

A process is a list of components on one event loop. They are prepared, started in the
order in which they were added, drained in reverse order when a planned stop is asked
for, and stopped in reverse order. A broken invariant ends the process at once, without
a drain: the state is not to be trusted, and the fleet repairs what the process held.

Example::

    app = Application(settings, Role.AGENT)
    app.add(PeerNode(app))
    app.add(AgentRole(app))
    exit_code = await app.run()
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import sys
import traceback
from collections.abc import Callable, Coroutine
from functools import cached_property
from typing import TYPE_CHECKING, Any, Protocol

from bambootiller import early_signals, logs
from bambootiller.exits import ProcessExit
from bambootiller.metrics import Metrics
from bambootiller.rpc.channels import Channels
from bambootiller.rpc.server import Register, RpcServer
from bambootiller.settings import Settings
from bambootiller_core.decisions import DecisionLog
from bambootiller_core.documents import Documents
from bambootiller_core.invariants import InvariantBroken
from bambootiller_core.timers import TimerService
from bambootiller_core.types import Role

if TYPE_CHECKING:
    from bambootiller.catalogue import Catalogue

#: How long the RPC server goes on with open calls after all components have stopped.
RPC_GRACE_SECONDS = 0.5

log = logs.logger("app")


class Component(Protocol):
    """A part of a process with a life of its own."""

    name: str

    async def prepare(self) -> None:
        """Take what must be held before anything else runs (ports, locks)."""

    async def start(self) -> None:
        """Begin to work; returns once the component is usable."""

    async def drain(self, seconds: float) -> None:
        """Finish what is under way and take nothing new, within ``seconds``."""

    async def stop(self) -> None:
        """Release everything."""


class Application:
    """One process: its settings, its shared services and its components."""

    def __init__(self, settings: Settings, role: Role) -> None:
        self.settings = settings
        self.role = role
        self.instance = settings.instance
        self.rng = random.Random(settings.seed)
        self.timers = TimerService()
        self.decisions = DecisionLog()
        self.metrics = _metrics(settings)
        self.channels = Channels(settings)
        self.documents = Documents()
        self.rpc = RpcServer(settings)
        #: Set by the components that own them.
        self.kv: Any = None
        self.instances: Any = None
        self.membership: Any = None
        self.peers: Any = None
        self.http_port: int | None = None
        self.leaving = False
        self._components: list[Component] = []
        self._reloads: list[Callable[[], None]] = []
        self._tasks: set[asyncio.Task] = set()
        self._stop = asyncio.Event()
        self._timer_wake = asyncio.Event()

    def now(self) -> float:
        """Seconds on this process's monotonic clock."""
        return asyncio.get_running_loop().time()

    @cached_property
    def catalogue(self) -> Catalogue:
        """The templates and slot tables among the documents.

        Loaded when first asked for. The validated models of templates take a fifth of
        a process's start, and the gateway has none.
        """
        from bambootiller.catalogue import Catalogue

        return Catalogue(self.documents)

    @property
    def advertised(self) -> str:
        """The address under which peers reach this process's RPC server."""
        cfg = self.settings
        if cfg.rpc_advertise is not None:
            return str(cfg.rpc_advertise)
        return f"{cfg.rpc_listen.host}:{self.rpc.port}"

    def add(self, component: Component) -> None:
        """Append a component; the last one added is drained first."""
        self._components.append(component)

    def add_servicer(self, register: Register) -> None:
        """Have ``register(server)`` called before the RPC server starts."""
        self.rpc.add(register)

    def spawn(self, name: str, coro: Coroutine[Any, Any, None]) -> asyncio.Task:
        """Run a task whose unexpected end by an exception stops the process."""
        task = asyncio.get_running_loop().create_task(coro, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    def on_reload(self, reload: Callable[[], None]) -> None:
        """Have ``reload()`` called when the process is told to read its settings
        again. Settings from flags and variables hold for the life of a process."""
        self._reloads.append(reload)

    def request_stop(self) -> None:
        """Begin a planned stop; asking twice changes nothing."""
        self._stop.set()

    def fail(self, exc: BaseException) -> None:
        """Stop at once with a report, because an invariant is broken.

        Nothing is flushed or handed over: after a broken invariant any further act
        could do harm, such as giving back a slot whose replica still runs.
        """
        report = "".join(traceback.format_exception(exc))
        name = exc.name if isinstance(exc, InvariantBroken) else type(exc).__name__
        log.critical("stopped on {}: {}", name, report)
        sys.stderr.flush()
        os._exit(ProcessExit.BROKEN)

    async def run(self) -> int:
        """Live until a planned stop has ended; return the exit code."""
        self._watch_signals()
        for component in self._components:
            await component.prepare()
        await self.rpc.start()
        self.timers.on_earlier = self._timer_wake.set
        timers = self.spawn("timers", self._run_timers())
        for component in self._components:
            await component.start()
        self._announce_ready()
        await self._stop.wait()
        await self._shut_down()
        timers.cancel()
        return ProcessExit.STOPPED

    async def _shut_down(self) -> None:
        self.leaving = True
        log.info("planned stop begins")
        deadline = self.now() + self.settings.drain_seconds
        for component in reversed(self._components):
            await component.drain(max(0.0, deadline - self.now()))
        for component in reversed(self._components):
            await component.stop()
        await self.rpc.stop(RPC_GRACE_SECONDS)
        for task in list(self._tasks):
            task.cancel()
        await self.channels.close()
        log.info("planned stop ends")

    async def _run_timers(self) -> None:
        while True:
            self._timer_wake.clear()
            due = self.timers.next_due()
            delay = None if due is None else max(0.0, due - self.now())
            try:
                await asyncio.wait_for(self._timer_wake.wait(), delay)
            except TimeoutError:
                self.timers.advance(self.now())

    def _task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (exc := task.exception()) is not None:
            self.fail(exc)

    def _watch_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self.request_stop)
        # Left alone, a hang-up ends the process, and with it every call under way.
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        if early_signals.hangup_came():
            self._reload()

    def _reload(self) -> None:
        log.info("reload asked for; {} parts take it up", len(self._reloads))
        for reload in self._reloads:
            reload()

    def _announce_ready(self) -> None:
        line = {
            "ready": True,
            "instance": self.instance,
            "rpc_port": self.rpc.port,
            "http_port": self.http_port,
        }
        print(json.dumps(line), flush=True)
        log.info("started as {} at {}", self.role.value, self.advertised)


def _metrics(cfg: Settings) -> Metrics:
    if cfg.statsd is None:
        return Metrics(None, 0, "bambootiller")
    return Metrics(cfg.statsd.host, cfg.statsd.port, "bambootiller")
