"""Following the engine's state by long polls."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from bambootiller import logs
from bambootiller.agent.driver import Driver
from bambootiller.agent.engine import STATE_WAIT_MS, EngineClient, EngineSilent

if TYPE_CHECKING:
    from bambootiller.app import Application

#: Between two polls, so that an engine whose report changes with each token doesn't
#: keep this process busy.
PAUSE_SECONDS = 0.02
RETRY_SECONDS = 0.25

log = logs.logger("engine")


async def watch_state(app: Application, engine: EngineClient, driver: Driver) -> None:
    """Tell the driver each state of the engine, and its silence, until cancelled."""
    after, wait_ms = 0, 0
    silent = False
    while True:
        asked_at = app.now()
        state = await engine.state(after, wait_ms)
        if isinstance(state, EngineSilent):
            if not silent:
                log.warning("the engine is silent: {}", state.detail)
            silent = True
            driver.on_engine_silent()
            # A restarted engine counts its versions anew: waiting for one above the old
            # version would leave this process without its state for the whole poll.
            after, wait_ms = 0, 0
            await asyncio.sleep(RETRY_SECONDS)
            continue
        if silent:
            log.info("the engine answers again, incarnation {}", state.incarnation)
        silent = False
        driver.on_engine_state(state, _as_of(asked_at, state.version, after, wait_ms))
        after, wait_ms = state.version, STATE_WAIT_MS
        await asyncio.sleep(PAUSE_SECONDS)


def _as_of(asked_at: float, version: int, after: int, wait_ms: int) -> float:
    """A time at which the engine's state certainly was as told.

    The answer may have been on its way for long, with the process paused meanwhile. An
    unchanged version comes only at the end of the wait.
    """
    if version == after and wait_ms:
        return asked_at + wait_ms / 1000
    return asked_at
