"""The agent as a component of the application: start, graceful shutdown, stop."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING

from bambootiller import logs
from bambootiller.agent import guard
from bambootiller.agent.calls import Call
from bambootiller.agent.claimed_run import run_claimed
from bambootiller.agent.claims import ClaimKeeper
from bambootiller.agent.driver import Driver
from bambootiller.agent.engine import EngineClient
from bambootiller.agent.model_run import run_model
from bambootiller.agent.pieces import Final
from bambootiller.agent.service_run import ServiceClient, run_service
from bambootiller.agent.servicer import BackendServicer
from bambootiller.agent.slot_writes import SlotWrites
from bambootiller.agent.state_watch import watch_state
from bambootiller.exits import ProcessExit
from bambootiller.rpc import bambootiller_pb2_grpc as api
from bambootiller_core.backend import BackendCore
from bambootiller_core.backend_effects import BackendConfig
from bambootiller_core.template import WhenStoreDown
from bambootiller_core.types import ModelKey, ServiceTarget

if TYPE_CHECKING:
    from bambootiller.app import Application

#: The end of a graceful shutdown, kept for refusals to reach their callers and for
#: claims to be closed: this part of its time, but no more than this many seconds.
TELL_SHARE = 0.2
TELL_SECONDS = 1.0
REPORT_SECONDS = 10.0
#: Asks for a survey without the figures of a model.
NO_MODEL = ModelKey("", "")

log = logs.logger("agent")


class AgentRole:
    """Stands beside one backend server, and drives its decisions.

    Example::

        app.add(PeerNode(app))
        app.add(AgentRole(app))
    """

    name = "agent"

    def __init__(self, app: Application) -> None:
        cfg = app.settings
        self._app = app
        self._guard = guard.Guard(None)
        self._engine = (
            EngineClient(cfg.engine_url, cfg.settle_seconds) if cfg.engine_url else None
        )
        self._services = ServiceClient({item.name: item.url for item in cfg.services})
        self._keeper = ClaimKeeper(app)
        core = BackendCore(app.instance, _config(app), app.decisions, app.rng)
        self.driver = Driver(app, core, self._engine, self._run, SlotWrites(app))
        self._watch: asyncio.Task | None = None
        app.add_servicer(self._register)

    async def prepare(self) -> None:
        """Hold the guard port; if another agent holds it, end the process."""
        held = guard.hold(self._app.settings.guard_port)
        if isinstance(held, guard.GuardTaken):
            log.critical(held.detail)
            sys.exit(ProcessExit.PORT_TAKEN)
        self._guard = held

    async def start(self) -> None:
        """Read the engine, take in what is in force, and serve."""
        app = self._app
        await self._keeper.start_pump()
        app.catalogue.subscribe(self.driver.on_template, self.driver.on_slot_table)
        if self._engine is not None:
            watch = watch_state(app, self._engine, self.driver)
            self._watch = app.spawn("engine state", watch)
        app.timers.every("agent report", REPORT_SECONDS, app.now(), self._report)

    async def drain(self, seconds: float) -> None:
        """Finish what was admitted, give the slots back, and close the claims.

        The fleet hears of it first, so that nobody sends new work to a place that will
        only refuse it.
        """
        app = self._app
        app.peers.announce_leaving()
        end = app.now() + seconds
        tell = min(TELL_SECONDS, seconds * TELL_SHARE)
        self.driver.leave(end - tell)
        await self._wait_drained(end - tell)
        await self.driver.wait_tasks(end - tell)
        # Whatever runs now was told of as unknown; its claim is closed as cut.
        self.driver.cut_tasks()
        await self.driver.wait_tasks(end)
        idle = await self._keeper.wait_idle(end)
        log.info("drained: {}, claims closed: {}", self.driver.drained.is_set(), idle)

    async def stop(self) -> None:
        """Close the connections, and last the guard port."""
        if self._watch is not None:
            self._watch.cancel()
        if self._engine is not None:
            await self._engine.close()
        await self._services.close()
        self._guard.release()

    async def _wait_drained(self, until: float) -> None:
        left = max(0.0, until - self._app.now())
        try:
            await asyncio.wait_for(self.driver.drained.wait(), left + TELL_SECONDS / 2)
        except TimeoutError:
            log.warning("not drained in time")

    async def _run(self, call: Call) -> Final:
        if not call.req.non_idempotent:
            return await self._send(call)
        return await run_claimed(self._keeper, call, self._send, self._when_down(call))

    async def _send(self, call: Call) -> Final:
        if call.is_model:
            return await run_model(self._engine, call)
        return await run_service(self._services, call)

    def _when_down(self, call: Call) -> WhenStoreDown:
        target = call.req.target
        template = self._app.catalogue.template(call.req.customer)
        if template is None or not isinstance(target, ServiceTarget):
            return WhenStoreDown.REFUSE
        policy = template.services.get(target.service)
        return WhenStoreDown.REFUSE if policy is None else policy.when_store_down

    def _register(self, server: object) -> None:
        servicer = BackendServicer(self._app, self.driver, self._services)
        api.add_BackendServicer_to_server(servicer, server)

    def _report(self, now: float) -> None:
        survey = self.driver.core.survey(NO_MODEL)
        metrics = self._app.metrics
        metrics.gauge("agent.memory_free_bytes", survey.memory_free)
        metrics.gauge("agent.slots", survey.slots)
        metrics.gauge("agent.claims_open", len(self._keeper))


def _config(app: Application) -> BackendConfig:
    return BackendConfig(
        settle_s=app.settings.settle_seconds,
        headroom_bytes=app.settings.memory_headroom_bytes,
        confirm_slots=True,
    )
