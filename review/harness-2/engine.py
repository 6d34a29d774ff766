"""A model replica as on the pages for a deployment without `require-fencing`."""

from __future__ import annotations

import asyncio
import json
import time
import uuid

import world  # noqa: F401  (sets sys.path)
from bambootiller_platform_standins.httpd import Reply, Request, Server


class Engine:
    """Serves streams, takes orders, and restarts under its id.

    ``late_orders`` orders to load get no answer and are carried out ``late_s`` seconds
    later, if ``expected`` holds then.
    """

    def __init__(self, record, instance, service, sizes, memory_mb, load_s=1.0):
        self.record = record
        self.instance, self.service = instance, service
        self.sizes, self.memory_mb, self.load_s = sizes, memory_mb, load_s
        self.born = time.time_ns() // 1_000_000
        self.held: dict[str, set[str]] = {}
        self.loading: str | None = None
        self.seq = 0
        self.busy = False
        self.late_models: set[str] = set()
        self.late_s = 10.0
        self.late_sent = asyncio.Event()
        self.overfull: list[str] = []
        self.runs: list[str] = []
        self.events = 5
        self.gap_s = 0.02
        #: How long a prompt is read before the first event.
        self.prefill_s = 0.02
        #: Prompt parts, and bodies, that crash it when it begins to answer; it is back
        #: after ``crash_down_s``.
        self.bad_parts: set[str] = set()
        self.bad_bodies: set[bytes] = set()
        self.crash_down_s = 2.0
        #: When such requests arrived, and when one of them crashed it.
        self.bad_arrivals: list[float] = []
        self.crash_times: list[float] = []
        self._timer: asyncio.TimerHandle | None = None
        self.up = True
        self.server = Server(self._handle)
        self._address: tuple[str, int] = ("", 0)

    async def start(self, host: str, port: int = 0) -> None:
        await self.server.start(host, port)
        self._address = (host, self.server.port)

    async def power_loss(self, down_s: float) -> None:
        """The machine loses power; after ``down_s`` it is back, empty, with its id."""
        self.record(f"{self.instance}: loses power, with {sorted(self.held)}")
        self.up = False
        await self.server.stop()
        if self._timer is not None:
            self._timer.cancel()
        await asyncio.sleep(down_s)
        self.held, self.loading, self.busy, self.seq = {}, None, False, 0
        self.born = max(time.time_ns() // 1_000_000, self.born + 1)
        await self.server.start(*self._address)
        self.up = True
        self.record(f"{self.instance}: is back, empty, born {self.born}")

    def entry(self) -> bytes:
        document = {
            "service": self.service,
            "address": f"{self._address[0]}:{self._address[1]}",
            "zone": "z1",
            "version": "v1",
            "slots": 16,
            "state": "ready",
            "cold-remaining-ms": 0,
            "stage": "unified",
            "models": self._models(),
            "seq": self.seq,
            "born": self.born,
        }
        return json.dumps(document).encode()

    async def heartbeats(self, store) -> None:
        while True:
            if self.up:
                store.put(f"servers/{self.instance}", self.entry())
            await asyncio.sleep(world.HEARTBEAT_S)

    def _models(self) -> list[dict]:
        return [
            {"name": name, "version": 1, "adapters": sorted(adapters)}
            for name, adapters in self.held.items()
        ]

    async def _handle(self, request: Request) -> Reply:
        expected = request.headers.get("x-expected-instance", self.instance)
        if request.path.endswith("/report"):
            return Reply(pieces=(json.dumps(self._report()).encode(),))
        if expected != self.instance:
            return Reply(421, {"X-Not-Executed": "1"})
        if request.path.endswith("/order"):
            return await self._on_order(json.loads(request.body))
        return await self._run(request)

    def _is_bad(self, request: Request) -> bool:
        parts = request.headers.get("x-prompt-prefix", "").split(",")[:-1]
        found = {part.partition(":")[0] for part in parts}
        return bool(found & self.bad_parts) or request.body in self.bad_bodies

    def _report(self) -> dict:
        return {
            "stage": "unified",
            "born": self.born,
            "models": self._models(),
            "busy": self.busy,
            "seq": self.seq,
            "queued": 0,
            "running": 0,
            "kv-used": 0,
            "kv-total": 90000,
            "handles": 0,
            "loading": [],
            "at-hand": {"in-memory": [], "on-disk": []},
        }

    async def _run(self, request: Request) -> Reply:
        attempt = request.headers.get("x-request-attempt", "")
        model = request.headers.get("x-model", "").partition("/")[0]
        if model not in self.held:
            return Reply(421, {"X-Not-Executed": "1", "X-Request-Attempt": attempt})
        bad = self._is_bad(request)
        if bad:
            self.bad_arrivals.append(time.monotonic())
            self.record(f"{self.instance}: {attempt} arrives, which crashes it")
        # A request begins to run with its first token.
        await asyncio.sleep(self.prefill_s)
        if bad and self.up:
            self.crash_times.append(time.monotonic())
            self.up = False
            self._crashing = asyncio.create_task(self.power_loss(self.crash_down_s))
            return Reply(silent=True)
        self.runs.append(attempt)
        self.record(f"{self.instance}: runs {attempt} ({model})")
        first = int(request.headers.get("last-event-id", 0)) + 1
        pieces = [
            b"id: %d\ndata: %d\n\n" % (n, n) for n in range(first, self.events + 1)
        ]
        headers = {
            "X-Request-Attempt": attempt,
            "X-Response-Seal": f"{self.instance}.{uuid.uuid4().hex[:8]}",
            "X-Weight-Versions": "1",
            "Content-Type": "text/event-stream",
        }
        return Reply(200, headers, tuple(pieces), gap_s=self.gap_s, length=False)

    async def _on_order(self, order: dict) -> Reply:
        text = f"{order['operation']} {order['model']} expected {order['expected']}"
        if order["operation"] == "model_load" and order["model"] in self.late_models:
            self.late_models.discard(order["model"])
            self.record(f"{self.instance}: gives no answer to {text}")
            asyncio.get_running_loop().call_later(self.late_s, self._late, order, text)
            self.late_sent.set()
            return Reply(silent=True)
        status = self._accept(order)
        self.record(
            f"{self.instance}: {text}, token {order['fencing-token']}: {status}"
        )
        return Reply(status)

    def _late(self, order: dict, text: str) -> None:
        if not self.up:
            self.record(f"{self.instance}: late {text}: the replica is down")
            return
        if self.busy:
            # Another order is in progress.
            self.record(f"{self.instance}: late {text}: 409, busy")
            return
        status = self._accept(order)
        self.record(
            f"{self.instance}: late {text}, token {order['fencing-token']}: {status}"
        )

    def _accept(self, order: dict) -> int:
        model, load = order["model"], order["operation"] == "model_load"
        if self.busy or order.get("expected", self.seq) != self.seq:
            return 409
        if order.get("adapter"):
            self.seq += 1
            change = self.held[model].add if load else self.held[model].discard
            change(order["adapter"])
            return 200
        if load and model in self.held or not load and model not in self.held:
            return 200
        self.seq += 1
        self.busy = True
        if load:
            self.loading = model
            used = sum(self.sizes[name] for name in {*self.held, model})
            if used > self.memory_mb:
                self.overfull.append(
                    f"{model} ordered beside {sorted(self.held)}: {used} MB of "
                    f"{self.memory_mb}"
                )
        self._timer = asyncio.get_running_loop().call_later(
            self.load_s if load else 0.1, self._done, model, load
        )
        return 202

    def _done(self, model: str, load: bool) -> None:
        self.busy, self.loading = False, None
        if load:
            self.held[model] = set()
        else:
            self.held.pop(model, None)
