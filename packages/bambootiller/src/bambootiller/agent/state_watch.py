"""Following the engine's state by long polls."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from bambootiller import logs
from bambootiller.agent.driver import Driver
from bambootiller.agent.engine import STATE_WAIT_MS, EngineClient, EngineSilent
from bambootiller_core.types import EngineState

if TYPE_CHECKING:
    from bambootiller.app import Application

#: Between two polls, so that an engine whose report changes with each token doesn't
#: keep this process busy.
PAUSE_SECONDS = 0.02
RETRY_SECONDS = 0.25
SETTLING_WAIT_MS = 100
SETTLING_MARGIN_SECONDS = 0.5

log = logs.logger("engine")


async def watch_state(app: Application, engine: EngineClient, driver: Driver) -> None:
    """Tell the driver each state of the engine, and its silence, until cancelled."""
    after, wait_ms = 0, 0
    silent = False
    decided = None
    settling_until = app.now() + app.settings.settle_seconds + SETTLING_MARGIN_SECONDS
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
        # News may have been on its way since before the latest order, so the core can't
        # tell whether it speaks of a time after it. Asked once more, at once, it can: a
        # planned stop would otherwise wait for the end of a long poll at each step.
        news = _decided(state) != decided
        decided = _decided(state)
        after = state.version
        wait_ms = 0 if news else _wait_ms(app.now() < settling_until)
        await asyncio.sleep(PAUSE_SECONDS)


def _wait_ms(settling: bool) -> int:
    """How long to wait for news.

    Loads begin with the first account from after the settle time. With a long poll
    under way at its end, each cold start would wait for the rest of that poll.
    """
    return SETTLING_WAIT_MS if settling else STATE_WAIT_MS


def _decided(state: EngineState) -> tuple[object, ...]:
    """The part of the state that follows from orders, without the load report."""
    models = {
        (item.model, item.phase, item.fence, item.adapters) for item in state.models
    }
    return state.incarnation, models, state.orders


def _as_of(asked_at: float, version: int, after: int, wait_ms: int) -> float:
    """A time at which the engine's state certainly was as told.

    The answer may have been on its way for long, with the process paused meanwhile. An
    unchanged version comes only at the end of the wait.
    """
    if version == after and wait_ms:
        return asked_at + wait_ms / 1000
    return asked_at
