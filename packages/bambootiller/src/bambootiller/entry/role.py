"""The entry as a component of the application: start, graceful shutdown, stop."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from bambootiller import logs
from bambootiller.entry import httpapp
from bambootiller.entry.arrivals import Arrivals
from bambootiller.entry.health import Readiness
from bambootiller.entry.httpserver import KEEP_ALIVE_S, HttpServer
from bambootiller.entry.intake import Intake
from bambootiller.entry.relay.driver import Cut
from bambootiller.entry.relays import Relays
from bambootiller.entry.routing import Routing
from bambootiller.gateway.http_limits import limited_protocol
from bambootiller.gateway.http_refusals import HeadRefusal
from bambootiller.gateway.machine_limits import MachineLimits
from bambootiller_core.gateway.caller_connections import CallerConnections
from bambootiller_core.gateway.caller_memory import CallerMemory
from bambootiller_core.gateway.config import CallLimits
from bambootiller_core.membership import MemberView, Status
from bambootiller_core.types import Role

if TYPE_CHECKING:
    from bambootiller.app import Application

#: For how long a leaving entry still takes new requests: balancers go on sending until
#: their health check has failed once or twice. Seconds.
LAG_S = 3.0
#: No more than this part of the time for the graceful shutdown is spent on that lag.
LAG_SHARE = 0.25
#: Kept at the end for telling the callers whose requests can't be finished. Seconds.
TELL_S = 0.5
SWEEP_S = 60.0

log = logs.logger("entry")


class EntryRole:
    """Faces callers: HTTP in, gRPC to the agents.

    Example::

        app.add(EntryRole(app))
    """

    name = "entry"

    def __init__(self, app: Application) -> None:
        self._app = app
        self._server: HttpServer | None = None
        self._intake: Intake | None = None
        self._routing: Routing | None = None
        self._leaving = False
        self._accepting_until = 0.0
        self._was_ready = False

    @property
    def http_port(self) -> int | None:
        """The port for callers, once started."""
        return None if self._server is None else self._server.port

    async def prepare(self) -> None:
        """Nothing to take beforehand: a taken port is noticed at the start."""

    async def start(self) -> None:
        """Bind the port and serve; requests are refused until the entry is ready."""
        app = self._app
        cfg = app.settings
        self._intake = Intake(cfg.entry_streams)
        self._routing = Routing(cfg.zone, app.membership, app.catalogue, app.rng)
        arrivals = Arrivals(
            app.catalogue,
            self._intake,
            cfg.max_body_bytes,
            self._is_ready,
            app.now,
        )
        relays = Relays(
            self._routing,
            app.channels,
            self._intake,
            app.decisions,
            app.metrics,
            app.rng,
            app.now,
        )
        http = httpapp.build(arrivals, relays, self.readiness, app.fail)
        self._server = HttpServer(http, cfg.http_listen, self._protocol())
        self._server.bind()
        app.http_port = self._server.port
        app.membership.subscribe(self._member_changed)
        app.timers.every("entry sweep", SWEEP_S, app.now(), self._sweep)
        app.spawn("entry http", self._server.serve())

    def _protocol(self) -> type[asyncio.Protocol]:
        cfg = self._app.settings
        limits = CallLimits(
            max_body_bytes=cfg.max_body_bytes, idle_timeout_s=KEEP_ALIVE_S
        )
        machine = MachineLimits(cfg.memory_mb * 1e6, cfg.max_descriptors)
        return limited_protocol(
            lambda: limits,
            self._count_refusal,
            lambda: False,
            memory=CallerMemory(machine.caller_memory_bytes, self._app.now),
            connections=CallerConnections(machine.caller_connections),
        )

    def _count_refusal(self, refusal: HeadRefusal) -> None:
        # Counted at all levels, logged only where somebody looks: a crowd would fill
        # the log.
        self._app.metrics.incr(f"entry.unread.{refusal.reason}")
        log.debug("refused unread: {} {}", refusal.status, refusal.reason)

    async def drain(self, seconds: float) -> None:
        """Graceful shutdown: say so, keep serving, then end what can't be finished.

        Requests under way are never cut before the time is nearly over, and then each
        caller is told what became of its own.
        """
        end = self._app.now() + seconds
        lag = min(LAG_S, seconds * LAG_SHARE)
        self._leaving = True
        self._accepting_until = self._app.now() + lag
        log.info("leaving: new requests are taken for {} s more", round(lag, 1))
        await asyncio.sleep(lag)
        self._intake.close()
        await self._server.close_listener()
        if not await self._intake.wait_empty(end - TELL_S - self._app.now()):
            log.warning("{} requests can't be finished", self._intake.under_way)
            self._intake.interrupt_all(Cut.LEAVING)
            await self._intake.wait_empty(max(TELL_S, end - self._app.now()))

    async def stop(self) -> None:
        """Close the connections and the port."""
        if self._server is not None:
            await self._server.stop(2.0)

    def readiness(self) -> Readiness:
        """What ``/readyz`` says."""
        agents_seen = self._agents_seen()
        return Readiness(
            ready=self._is_ready() and agents_seen and not self._leaving,
            configured=bool(self._app.catalogue.customers()),
            agents_seen=agents_seen,
            leaving=self._leaving,
            accepting_ms=self._accepting_ms(),
        )

    def _is_ready(self) -> bool:
        """Whether the configuration is known; once known, it is never lost again."""
        self._was_ready = self._was_ready or bool(self._app.catalogue.customers())
        return self._was_ready

    def _agents_seen(self) -> bool:
        return any(True for _ in self._app.membership.members(Role.AGENT))

    def _accepting_ms(self) -> int:
        left = self._accepting_until - self._app.now()
        return max(0, int(left * 1000)) if self._leaving else 0

    def _member_changed(self, view: MemberView) -> None:
        self._routing.places.noted(view)
        if view.member.role is Role.AGENT and view.status is Status.DEAD:
            # Its open calls would hang until the deadline: a paused process keeps its
            # connections up and answers nothing.
            self._intake.interrupt_at(view.member.instance, Cut.DEAD)
            self._routing.forget(view.member.instance)

    def _sweep(self, now: float) -> None:
        self._routing.board.sweep(now)
        self._routing.places.sweep(now)
        self._routing.patience.sweep(now)
        self._app.metrics.gauge("entry.under_way", self._intake.under_way)
