"""An entry's HTTP front with stand-in replicas, in the test's own event loop.

The front is called through ASGI as the HTTP server would call it, so that a test
sees each message and controls when the caller disconnects.
"""

import asyncio
import json
import random

from bambootiller.gateway.allocator_client import AllocatorClient
from bambootiller.gateway.gateway_state import GatewayState
from bambootiller.gateway.http_front import HttpFront
from bambootiller.gateway.quarantine import Quarantine
from bambootiller.gateway.quotas import Quotas
from bambootiller.gateway.relay_context import RelayContext
from bambootiller.gateway.server_admission import ServerAdmission
from bambootiller.gateway.server_limits import ServerLimits
from bambootiller_core.gateway.adapter_prefetch import AdapterPrefetch
from bambootiller_core.gateway.demand_tracker import DemandTracker
from bambootiller_core.gateway.model_demand import NO_DEMAND
from bambootiller_core.gateway.quota_limits import QuotaTolerance
from bambootiller_core.gateway.retry_budget import RetryBudget
from bambootiller_core.gateway.running_clock import TICK_S, RunningClock
from bambootiller_core.ports import Changed, Record
from bambootiller_platform.dialect import PlatformDialect
from bambootiller_platform.documents import PlatformDirectory
from tests.adapter.cover.test_documents import CONFIG, MODEL, ROUTE, SERVICE

HOST = b"classes.example"


class RecordingEventLog:
    """Records events instead of writing them to the log."""

    def __init__(self):
        self.lines = []

    def emit(self, line):
        self.lines.append(line)

    def of_kind(self, event):
        return [line for line in self.lines if line.event == event]


class EmptyPlans:
    """Plans of an entry whose engines accept no orders."""

    def __init__(self):
        self.entries = ("e1", "e2")
        self._demand_tracker = DemandTracker()

    def demand(self, service):
        return self._demand_tracker

    def adapter_prefetch(self, service):
        return AdapterPrefetch()

    def planned(self, service, model):
        return None

    def planned_demand(self, service, model):
        return NO_DEMAND

    def copies_seen(self, service, model):
        return ()

    def obstacles(self, service, model):
        return None

    def store_loads_under_way(self, service):
        return 0

    def plan_for(self, service, model):
        return None


class EnginesWithoutAgents:
    """Engines without agents: load requests are recorded and never executed."""

    def __init__(self):
        self.plans = EmptyPlans()
        self.load_requests = []

    def request_load(self, backend, load_request):
        self.load_requests.append(load_request)
        return True


class ReceivedResponse:
    """What a caller received.

    ``whole`` is true once the last part of the body has arrived; ``arrivals`` are the
    times at which the parts arrived, in seconds of the event loop's clock.
    """

    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.whole = False
        self.arrivals = []


class EntryHarness:
    """One entry with some replicas.

    Example::

        harness = EntryHarness()
        await harness.add(StandinReplica("i-1", "plain"))
        answer = await harness.call(path=b"/plain/x")
    """

    def __init__(self):
        self.events = RecordingEventLog()
        loop = asyncio.get_running_loop()
        self.gateway_state = GatewayState(PlatformDirectory(), self.events, loop.time)
        self.engines = EnginesWithoutAgents()
        self._running = RunningClock(loop.time())
        self._ticking = loop.create_task(self._tick())
        allocator_client = AllocatorClient("e1", lambda peer: True, lambda: False)
        limits = ServerLimits(self.events, loop.time, lambda: None)
        self.quotas = Quotas(self.gateway_state, QuotaTolerance, allocator_client)
        self.context = RelayContext(
            self.gateway_state,
            self.engines,
            PlatformDialect(),
            self.events,
            "z1",
            random.Random(7),
            loop.time,
            lambda: RetryBudget(0.2, 54, 10.0),
            self.running_time,
            Quarantine(self.gateway_state, self.events, loop.time, lambda: None),
            self.quotas,
            limits,
            ServerAdmission(limits, allocator_client, loop.time),
        )
        # Simulates an entry that started a minute ago: calls don't wait for information
        # that an entry only expects after its start.
        self.context.started_at -= 60
        self.leaving = False
        self.front = HttpFront(self.context, None, lambda: True, lambda: self.leaving)
        self.replicas = []
        self.revision = 0

    def running_time(self):
        """Seconds for which the process has run, without its stalls."""
        return self._running.running_time(asyncio.get_running_loop().time())

    async def _tick(self):
        loop = asyncio.get_running_loop()
        while True:
            self._running.tick(loop.time())
            self.context.quarantine.settle(loop.time())
            await asyncio.sleep(TICK_S)

    def configure(self, **route_fields):
        """Apply a configuration; ``route_fields`` override those of the plain route."""
        fields = {
            "name": "p",
            "path-prefix": "/plain/",
            "kind": "safe",
            "service": "plain",
            "timeout-ms": 3000,
            **route_fields,
        }
        document = {
            **CONFIG,
            "routes": [{**ROUTE, **fields}, ROUTE],
            "services": [SERVICE, {"name": "plain"}],
        }
        self.add_document("op/config", document)

    def add_document(self, key, document):
        """Pass a document to the entry as a change in the store."""
        self.revision += 1
        value = (
            document if isinstance(document, bytes) else json.dumps(document).encode()
        )
        self.gateway_state.apply_document(
            Changed(Record(key, value, self.revision)), "test"
        )

    async def add(self, replica):
        """Start a replica and add it to the registry."""
        await replica.server.start()
        self.replicas.append(replica)
        self.add_document(f"servers/{replica.instance}", replica.entry())
        return replica

    async def close(self):
        """Stop all replicas."""
        self._ticking.cancel()
        for replica in self.replicas:
            await replica.server.stop()

    async def call(
        self, path=b"/plain/x", method="POST", disconnect_after_s=None, **headers
    ):
        """Send a request as a client, which may disconnect after some seconds."""
        fields = [(b"host", HOST), (b"x-request-attempt", b"r-1")]
        fields += [
            (name.replace("_", "-").encode(), str(value).encode())
            for name, value in headers.items()
        ]
        scope = {
            "type": "http",
            "method": method,
            "path": path.decode(),
            "raw_path": path,
            "query_string": b"",
            "headers": fields,
        }
        answer = ReceivedResponse()
        sent = []

        async def receive():
            if not sent:
                sent.append(True)
                return {"type": "http.request", "body": b"body", "more_body": False}
            if disconnect_after_s is None:
                await asyncio.Event().wait()
            await asyncio.sleep(disconnect_after_s)
            return {"type": "http.disconnect"}

        async def send(message):
            if message["type"] == "http.response.start":
                answer.status = message["status"]
                answer.headers = dict(message["headers"])
                return
            answer.body += message.get("body", b"")
            answer.arrivals.append(asyncio.get_running_loop().time())
            answer.whole = not message.get("more_body", False)

        await self.front(scope, receive, send)
        return answer


MODEL_NAME = MODEL["name"]
