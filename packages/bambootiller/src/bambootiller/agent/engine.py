"""The client of the model engine: its state, orders and completions."""

from __future__ import annotations

import json
from dataclasses import dataclass

import aiohttp

from bambootiller.agent.engine_forms import Unreadable, read_state
from bambootiller.http_session import HttpSession, unlimited
from bambootiller_core.backend_effects import (
    OrderLost,
    OrderOutcome,
    OrderRejected,
    OrderTaken,
    SendOrder,
)
from bambootiller_core.types import EngineState

CONNECT_SECONDS = 1.0
#: How long a long poll waits for news, and how much longer its answer may take.
STATE_WAIT_MS = 2000
STATE_GRACE_SECONDS = 2.0

#: The longest time that an order may take, whatever the settings say.
LONGEST_ORDER_SECONDS = 5.0
#: An order may be on its way for this part of the settle time at most. The settle time
#: is what a take-over waits before it trusts the engine's state, so an order must have
#: arrived or be dead well before. An order that outlives it would load a model under a
#: slot that has been given away, which shows as one replica more than the cap.
ORDER_SHARE_OF_SETTLE = 0.5
SHORTEST_ORDER_SECONDS = 0.05

ACCEPTED = 202
CLIENT_ERRORS = range(400, 500)
NO_MEMORY = 507


@dataclass(frozen=True, slots=True)
class EngineSilent:
    """The engine's state couldn't be read."""

    detail: str


def order_seconds(settle_seconds: float) -> float:
    """The time limit of one order under a settle time, both in seconds."""
    share = settle_seconds * ORDER_SHARE_OF_SETTLE
    return max(SHORTEST_ORDER_SECONDS, min(LONGEST_ORDER_SECONDS, share))


class EngineClient:
    """Calls to the engine beside this agent.

    Example::

        engine = EngineClient("http://127.0.0.1:9000", settle_seconds=10.0)
        state = await engine.state(after=0, wait_ms=0)
        outcome = await engine.order(effect)
        await engine.close()
    """

    def __init__(self, url: str, settle_seconds: float) -> None:
        self.url = url.rstrip("/")
        self._order_seconds = order_seconds(settle_seconds)
        self._http = HttpSession(unlimited)

    @property
    def session(self) -> aiohttp.ClientSession:
        """The session of all calls to the engine; it doesn't limit connections, since
        the core decides how many calls run."""
        return self._http.get()

    async def state(self, after: int, wait_ms: int) -> EngineState | EngineSilent:
        """Read the state, waiting up to ``wait_ms`` for a version above ``after``."""
        total = wait_ms / 1000 + STATE_GRACE_SECONDS
        limit = aiohttp.ClientTimeout(total=total, sock_connect=CONNECT_SECONDS)
        query = {"after": str(after), "wait_ms": str(wait_ms)}
        try:
            async with self.session.get(
                f"{self.url}/state", params=query, timeout=limit
            ) as response:
                body = await response.read()
                if response.status != 200:
                    return EngineSilent(f"GET /state answered {response.status}")
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            return EngineSilent(f"GET /state: {type(exc).__name__}: {exc}")
        state = read_state(body)
        if isinstance(state, Unreadable):
            return EngineSilent(f"GET /state: {state.detail}")
        return state

    async def order(self, order: SendOrder) -> OrderOutcome:
        """Send an order once. No answer in time counts as lost, not as refused."""
        limit = aiohttp.ClientTimeout(
            total=self._order_seconds, sock_connect=CONNECT_SECONDS
        )
        try:
            async with self.session.post(
                f"{self.url}/orders", json=_order_form(order), timeout=limit
            ) as response:
                return await _order_outcome(response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return OrderRejected("not sent")
        except (aiohttp.ClientError, TimeoutError, OSError):
            return OrderLost()

    async def close(self) -> None:
        """Close all connections, which cancels what still runs on them."""
        await self._http.close()


def _order_form(order: SendOrder) -> dict[str, str | int]:
    form: dict[str, str | int] = {
        "order_id": order.order_id,
        "kind": order.kind.value,
        "model": order.model,
        "memory_bytes": order.memory_bytes,
        "fence": order.fence,
    }
    if order.adapter:
        form["adapter"] = order.adapter
    return form


async def _order_outcome(response: aiohttp.ClientResponse) -> OrderOutcome:
    if response.status == ACCEPTED:
        return OrderTaken()
    if response.status == NO_MEMORY:
        return OrderRejected("no_memory")
    if response.status in CLIENT_ERRORS:
        return OrderRejected(_reason(await response.read(), response.status))
    # Any other answer says that something failed, not that the order had no effect.
    return OrderLost()


def _reason(body: bytes, status: int) -> str:
    try:
        code = json.loads(body)["code"]
    except (ValueError, KeyError, TypeError):
        return f"status {status}"
    return str(code)
