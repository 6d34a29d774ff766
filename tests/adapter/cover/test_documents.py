"""Decoding of the operator's configuration and of registrations."""

import json
import unittest

from bambootiller.gateway.ports import Unreadable
from bambootiller_core.gateway.config import CallKind
from bambootiller_core.gateway.incarnation import Incarnation
from bambootiller_core.ports import Record
from bambootiller_platform.documents import PlatformDirectory

ROUTE = {
    "name": "r1",
    "host": "classes.example",
    "path-prefix": "/a/",
    "kind": "streaming",
    "timeout-ms": 12000,
    "target-latency-ms": 250,
    "priority": 1,
    "service": "llm",
    "max-attempts": 2,
    "sticky": True,
    "resumable": True,
    "gap-aim-ms": 200,
}
MODEL = {
    "name": "tutor",
    "weights-mb": 72700.0,
    "load-s": 6.0,
    "adapters": 24,
    "adapter-mb": 66.0,
    "warm-s": 0.4,
    "disk-s": 0.84,
}
SERVICE = {
    "name": "llm",
    "health-path": "/health",
    "max-connections": 300,
    "engine": {
        "slots": 48,
        "models": [MODEL],
        "weights-mb": 200000.0,
        "adapter-slots": 8,
        "loads-per-s": 3.5,
    },
}
CONFIG = {
    "version": 7,
    "routes": [ROUTE],
    "services": [SERVICE, {"name": "plain"}],
    "limits": {"max-body-bytes": 1000, "idle-timeout-ms": 15000},
}
SERVER = {
    "service": "llm",
    "address": "10.1.0.9:8080",
    "zone": "z1",
    "version": "v1",
    "slots": 48,
    "state": "ready",
    "cold-remaining-ms": 0,
    "models": [{"name": "tutor", "version": 1, "adapters": ["a1"]}],
    "seq": 4,
}


def record(document, key="op/config", revision=9):
    value = document if isinstance(document, bytes) else json.dumps(document).encode()
    return Record(key, value, revision)


class TestConfig(unittest.TestCase):
    def setUp(self):
        self.directory = PlatformDirectory()

    def test_a_route_is_decoded(self):
        config = self.directory.config(record(CONFIG))
        route = config.match("classes.example", "/a/b")
        self.assertIs(route.kind, CallKind.STREAM)
        self.assertEqual((route.timeout_s, route.target_s), (12.0, 0.25))
        self.assertEqual(route.max_event_gap_s, 0.2)
        self.assertTrue(route.resumable)
        self.assertEqual(route.pick_service(0.5), "llm")
        self.assertEqual((config.version, config.revision), (7, 9))

    def test_an_engine_is_decoded(self):
        engine = self.directory.config(record(CONFIG)).services["llm"].engine
        spec = engine.models["tutor"]
        self.assertEqual(engine.memory_mb, 200000.0)
        self.assertEqual((spec.load_s, spec.disk_s, spec.memory_s), (6.0, 0.84, 0.4))

    def test_a_split_names_several_services(self):
        split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
        route = {**ROUTE, "service": None, "traffic-split": split}
        config = self.directory.config(record({**CONFIG, "routes": [route]}))
        found = config.match("classes.example", "/a/")
        self.assertEqual([item.service for item in found.service_weights], ["a", "b"])

    def test_unknown_fields_are_ignored(self):
        config = self.directory.config(record({**CONFIG, "new-field": 1}))
        self.assertEqual(config.version, 7)

    def test_invalid_documents_are_reported(self):
        for document in (b"", b"[]", {**CONFIG, "version": "x"}):
            found = self.directory.config(record(document))
            self.assertIsInstance(found, Unreadable, document)
        route = {**ROUTE, "kind": "new-kind"}
        found = self.directory.config(record({**CONFIG, "routes": [route]}))
        self.assertIsInstance(found, Unreadable)

    def test_other_keys_are_ignored(self):
        self.assertIsNone(self.directory.config(record(CONFIG, "op/else")))


class TestRegistry(unittest.TestCase):
    def setUp(self):
        self.directory = PlatformDirectory()

    def test_a_backend_server_is_decoded(self):
        found = self.directory.registration(record(SERVER, "servers/i-1", 5))
        self.assertEqual((found.instance, found.host), ("i-1", "10.1.0.9"))
        self.assertEqual(found.holdings, {"tutor": frozenset({"a1"})})
        self.assertFalse(found.leaving)

    def test_the_start_time_is_an_integer_of_milliseconds(self):
        document = {**SERVER, "born": 1700000000123}
        found = self.directory.registration(record(document, "servers/i-1"))
        self.assertEqual(found.incarnation, Incarnation("i-1", 1700000000123))
        found = self.directory.registration(record(SERVER, "servers/i-1"))
        self.assertIsNone(found.incarnation.started_ms)
        for wrong in ("1700000000123", 17.5, True, []):
            document = {**SERVER, "born": wrong}
            found = self.directory.registration(record(document, "servers/i-1"))
            self.assertIsInstance(found, Unreadable, wrong)

    def test_draining_means_leaving_and_unknown_states_are_rejected(self):
        document = {**SERVER, "state": "draining"}
        self.assertTrue(
            self.directory.registration(record(document, "servers/i-1")).leaving
        )
        for state in ("something-new", "", "READY"):
            document = {**SERVER, "state": state}
            found = self.directory.registration(record(document, "servers/i-1"))
            self.assertIsInstance(found, Unreadable, state)

    def test_an_invalid_registration_is_reported(self):
        found = self.directory.registration(record(b"{}", "servers/i-1"))
        self.assertIsInstance(found, Unreadable)
