"""Agents in the test's own process, beside stand-ins, called over gRPC."""

import asyncio
import json
import types
import unittest

import grpc

from bambootiller.agent import AgentRole
from bambootiller.app import Application
from bambootiller.kv.etcd import EtcdKeyValue
from bambootiller.rpc import bambootiller_pb2 as pb, bambootiller_pb2_grpc as api
from bambootiller.settings import Address, ServiceUrl, Settings
from bambootiller_core import slots
from bambootiller_core.documents import Document
from bambootiller_core.ports import Committed, Compare, Put
from bambootiller_core.slots import SlotTable
from bambootiller_core.types import ModelKey, Role
from bambootiller_standins.engine import Engine, EngineConfig, LoadTimes
from bambootiller_standins.keyvalue import KeyValueService
from bambootiller_standins.plainservice import PlainService
from bambootiller_standins.testing import eventually

TUTOR = ModelKey("forge", "tutor")
TEMPLATE_KEY = "/bambootiller/templates/forge"
TIMEOUT_MS = 20_000
FAST = LoadTimes(memory=20, disk=40, remote=60)


def template(when_store_down="refuse", version=1):
    """The stored form of the customer's template."""
    form = {
        "customer": "forge",
        "version": version,
        "models": {
            "tutor": {
                "replicas": 2,
                "memory_bytes": "1GiB",
                "load_ms": 100,
                "adapters": ["java"],
                "adapter_bytes": "64MiB",
            },
        },
        "services": {
            "certificates": {
                "non_idempotent": ["/issue"],
                "when_store_down": when_store_down,
            }
        },
        "callers": {"clerk": {"key_sha256": "0" * 64}},
    }
    return json.dumps(form).encode()


class BenchApplication(Application):
    """An application that reports failures to the test and leaves signals alone."""

    def __init__(self, settings):
        super().__init__(settings, Role.AGENT)
        self.ready = asyncio.Event()
        self.failures = []
        self.announced = 0
        self.gone = set()
        self.peers = types.SimpleNamespace(announce_leaving=self._announce)
        self.instances = types.SimpleNamespace(is_gone=self.gone.__contains__)

    def fail(self, exc):
        self.failures.append(exc)

    def _announce(self):
        self.announced += 1

    def _announce_ready(self):
        self.ready.set()

    def _watch_signals(self):
        pass


class Agent:
    """One agent and a stub to call it."""

    def __init__(self, settings):
        self.app = BenchApplication(settings)
        self.app.kv = EtcdKeyValue(settings.kv_url, None, None)
        self.role = AgentRole(self.app)
        self.app.add(self.role)

    async def start(self):
        self._task = asyncio.create_task(self.app.run())
        await self.app.ready.wait()
        self._channel = grpc.aio.insecure_channel(f"127.0.0.1:{self.app.rpc.port}")
        self.stub = api.BackendStub(self._channel)

    async def stop(self):
        self.app.request_stop()
        await self._task
        await self._channel.close()
        await self.app.kv.close()

    async def serve(self, request):
        """All events of one attempt, checked to be its own and in order."""
        events = [event async for event in self.stub.Serve(request)]
        for number, event in enumerate(events):
            if (event.request_id, event.sequence) != (request.request_id, number):
                raise AssertionError(f"event {number} is {event}")
        return events


def kinds(events):
    return [event.WhichOneof("event") for event in events]


def text_of(events):
    return "".join(event.chunk.text for event in events)


def data_of(events):
    return b"".join(event.chunk.data for event in events)


def certificate(name, key="", path="/issue/7", body=b"lot 7", method="POST"):
    """A call of the plain service; under /issue it is non-idempotent."""
    return pb.ServeRequest(
        request_id=name,
        customer="forge",
        caller="clerk",
        service=pb.ServiceCall(
            service="certificates",
            method=method,
            path=path,
            headers=[pb.Header(name="idempotency-key", value=key)] if key else [],
            body=body,
        ),
        priority=1,
        standing=1.0,
        timeout_ms=TIMEOUT_MS,
        non_idempotent=bool(key),
        idempotency_key=key,
    )


def question(
    name, tokens=6, continue_text="", continue_tokens=0, prompt="why?", adapter=""
):
    """A call of the model."""
    return pb.ServeRequest(
        request_id=name,
        customer="forge",
        caller="clerk",
        model=pb.ModelCall(
            model="tutor",
            adapter=adapter,
            api="completions",
            body=json.dumps({"prompt": prompt, "max_tokens": tokens}).encode(),
            max_tokens=tokens,
            continue_text=continue_text,
            continue_tokens=continue_tokens,
        ),
        priority=1,
        standing=1.0,
        timeout_ms=TIMEOUT_MS,
    )


class AgentTestCase(unittest.IsolatedAsyncioTestCase):
    """A key-value service, an engine, a plain service, and agents beside them."""

    when_store_down = "refuse"

    async def asyncSetUp(self):
        self.agents = []
        self.kv = await self.started(KeyValueService())
        self.engine = await self.started(Engine(EngineConfig(load_ms=FAST, token_ms=1)))
        self.service = await self.started(PlainService())
        self.documents = []
        self.admin = EtcdKeyValue((self.kv.url,), None, None)
        self.addAsyncCleanup(self.admin.close)
        self.addAsyncCleanup(self.stop_agents)
        await self.store(TEMPLATE_KEY, template(self.when_store_down))

    async def started(self, standin):
        await standin.start()
        self.addAsyncCleanup(standin.stop)
        return standin

    async def stop_agents(self):
        self.kv.faults.set_mode("up")
        for agent in self.agents:
            await agent.stop()
            self.assertEqual(agent.app.failures, [])

    async def store(self, key, value):
        """Put a document into the key-value service; agents get it as from a peer."""
        outcome = await self.admin.transact([], [Put(key, value)])
        self.assertIsInstance(outcome, Committed)
        self.documents.append(Document(key, outcome.revision, value))
        for agent in self.agents:
            agent.app.documents.offer(self.documents[-1])
        return outcome.revision

    async def place(self, *instances):
        """Give the model's slots to instances."""
        placements = dict(enumerate(instances))
        table = slots.create(TUTOR, len(instances), 1, placements, "test/1")
        key = slots.document_key(TUTOR)
        outcome = await self.admin.transact(
            [Compare(key, 0)], [Put(key, table.encode())]
        )
        self.documents.append(Document(key, outcome.revision, table.encode()))
        for agent in self.agents:
            agent.app.documents.offer(self.documents[-1])

    async def table(self):
        found = await self.admin.get(slots.document_key(TUTOR))
        return SlotTable.decode(found.records[0].value)

    async def agent(self, instance="i-1", documents=True, service_url="", **cfg):
        url = service_url or self.service.url
        settings = Settings(
            instance=instance,
            zone="az-1",
            region="r1",
            rpc_listen=Address("127.0.0.1", 0),
            kv_url=(self.kv.url,),
            engine_url=self.engine.url,
            services=(ServiceUrl("certificates", url),),
            guard_port=0,
            settle_seconds=0.2,
            seed=1,
            **{"drain_seconds": 5.0, **cfg},
        )
        agent = Agent(settings)
        self.agents.append(agent)
        await agent.start()
        if documents:
            for document in self.documents:
                agent.app.documents.offer(document)
        core = agent.role.driver.core
        await eventually(lambda: core.survey(TUTOR).memory_total, "engine read")
        return agent
