"""Registry entries that another writer has created or has made unreadable.

Guards against calls to a backend server whose registry entry is no longer readable,
calls to an invalid address, and processes that stop following the store. Another
writer had written under the registry's prefix: the last readable state of a registry
entry stayed in use, values of other types were converted, and states and addresses
weren't validated.
"""

import asyncio
import json
import unittest

from hypothesis import given, strategies as st

from bambootiller.gateway.gateway_state import GatewayState
from bambootiller.gateway.meters import Meters
from bambootiller_core.ports import Changed, Found, Record
from bambootiller_platform.documents import PlatformDirectory
from tests.adapter.common.entry import RecordingEventLog
from tests.adapter.common.fleet import Fleet, wait_until
from tests.adapter.cover.test_documents import CONFIG, ROUTE, SERVER, SERVICE
from tests.adapter.failures.test_explained import PLAIN_ROUTE

REQUIRED_FIELDS = (
    *("service", "address", "zone", "slots", "state"),
    *("version", "cold-remaining-ms", "seq"),
)
#: JSON nested deeper than a recursive parser's stack allows.
DEEPLY_NESTED = b"[" * 100_000
OTHER = {**SERVER, "address": "10.1.0.10:8080"}
BAD_FIELDS = {
    "service": (None, 7, ["llm"], {}, True),
    "address": (
        *(None, 7, [], {}, "", "10.1.0.9", "10.1.0.9:", ":8080", "10.1.0.9:http"),
        *("10.1.0.9:0", "10.1.0.9:65536", "10.1.0.9:-1", "10.1.0.9:٣", "a b:80"),
        *("10.1.0.9:" + "9" * 5000, "h" * 300 + ":80", "10.1.0.9: 80", "\0:80"),
    ),
    "zone": (None, 7, []),
    "slots": (None, "8", 0, -1, 10**9, 10**400, True, 1.5, float("nan"), []),
    "state": (None, "", "READY", "starting", 1, ["ready"]),
    "version": (None, 7, []),
    "cold-remaining-ms": (None, "0", [], True, float("inf"), float("nan"), 10**400),
    "seq": (None, "4", 1.5, [], -1, 10**30, 10**400),
    "models": (None, {}, "tutor", ["tutor"], [{}], [{"name": 1}], [None]),
    "born": ("1700000000123", 17.5, True, [], -1, 2**63, 10**30, 10**400),
}
MODEL_WITH_BAD_ADAPTERS = {"name": "tutor", "adapters": "a1"}


def encode(document):
    return document if isinstance(document, bytes) else json.dumps(document).encode()


def invalid_documents():
    """Yield registry entries with one field missing or invalid, and other bytes."""
    for name in REQUIRED_FIELDS:
        yield {key: value for key, value in SERVER.items() if key != name}
    for name, values in BAD_FIELDS.items():
        for value in values:
            yield {**SERVER, name: value}
    yield {**SERVER, "models": [MODEL_WITH_BAD_ADAPTERS]}
    yield from (
        b"",
        b"null",
        b"[]",
        b"7",
        b"{",
        b"\xff\xfe",
        b'"\xed\xa0\x80"',
        DEEPLY_NESTED,
    )
    yield b'{"service": "\\ud800"}'


#: Values of any type, for one field of an otherwise valid registry entry.
ANY_VALUE = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


class Registry:
    """The gateway state of one process, and a counter of store revisions."""

    def __init__(self):
        self.events = RecordingEventLog()
        self.now = 100.0
        self.gateway_state = GatewayState(
            PlatformDirectory(), self.events, lambda: self.now
        )
        self.revision = 0

    def write(self, key, document):
        self.revision += 1
        record = Record(key, encode(document), self.revision)
        self.gateway_state.apply_document(Changed(record), "store")

    def remove(self, key):
        self.revision += 1
        change = Changed(Record(key, b"", self.revision), deleted=True)
        self.gateway_state.apply_document(change, "store")

    def usable_instances(self):
        """Return the ids of backend servers that calls, loads and orders may use."""
        of_service = self.gateway_state.fleet.of_service("llm")
        iterated = [
            backend
            for backend in self.gateway_state.fleet
            if not backend.registration.leaving
        ]
        names = sorted(backend.instance for backend in of_service)
        assert names == sorted(backend.instance for backend in iterated)
        return names

    def unreadable_details(self):
        return [line.detail for line in self.events.of_kind("backend_unreadable")]


class TestUnreadable(unittest.TestCase):
    def setUp(self):
        self.registry = Registry()
        self.registry.write("servers/i-2", OTHER)

    def test_an_invalid_entry_adds_no_backend_server(self):
        for number, document in enumerate(invalid_documents()):
            with self.subTest(document=str(document)[:80]):
                self.registry.write(f"servers/new-{number}", document)
                self.assertEqual(self.registry.usable_instances(), ["i-2"])

    def test_a_valid_entry_that_becomes_unreadable_is_not_used(self):
        for document in invalid_documents():
            with self.subTest(document=str(document)[:80]):
                self.registry.write("servers/i-1", SERVER)
                self.assertEqual(self.registry.usable_instances(), ["i-1", "i-2"])
                self.registry.write("servers/i-1", document)
                self.registry.write("servers/i-1", document)
                self.assertEqual(self.registry.usable_instances(), ["i-2"])

    def test_calls_in_flight_go_on_and_count_when_the_entry_is_back(self):
        self.registry.write("servers/i-1", SERVER)
        fleet = self.registry.gateway_state.fleet
        fleet.get("i-1").call_sent("tutor")
        self.registry.write("servers/i-1", b"x")
        self.assertEqual(fleet.get("i-1").in_flight, 1)
        self.registry.write("servers/i-1", SERVER)
        self.assertEqual(self.registry.usable_instances(), ["i-1", "i-2"])
        self.assertEqual(fleet.get("i-1").in_flight, 1)

    def test_a_leaving_start_is_not_restored_after_unreadable_bytes(self):
        for document in (SERVER, {**SERVER, "state": "draining"}, b"x", SERVER):
            self.registry.write("servers/i-1", document)
        self.assertEqual(self.registry.usable_instances(), ["i-2"])

    def test_an_unreadable_entry_can_be_removed(self):
        self.registry.write("servers/i-1", SERVER)
        self.registry.write("servers/i-1", b"x")
        self.registry.remove("servers/i-1")
        self.assertIsNone(self.registry.gateway_state.fleet.get("i-1"))

    def test_a_service_that_is_not_configured_is_not_logged(self):
        self.registry.write("servers/i-1", {**SERVER, "service": "foreign"})
        self.assertEqual(self.registry.unreadable_details(), [])
        names = [
            backend.instance
            for backend in self.registry.gateway_state.fleet.of_service("x")
        ]
        self.assertEqual(names, [])

    def test_the_configuration_that_was_in_force_stays(self):
        self.registry.write("op/config", CONFIG)
        self.registry.write("op/config", b"x")
        self.registry.write("op/config", DEEPLY_NESTED)
        self.assertEqual(self.registry.gateway_state.config.version, 7)


class TestKeys(unittest.TestCase):
    def test_a_key_that_names_no_backend_server_is_logged(self):
        for key in ("servers/", "servers/a/b", "servers//", "servers/\ud800"):
            with self.subTest(key=ascii(key)):
                registry = Registry()
                registry.write(key, SERVER)
                self.assertEqual(registry.usable_instances(), [])
                self.assertEqual(len(registry.unreadable_details()), 1)
                registry.remove(key)

    def test_a_key_that_no_message_can_carry_is_not_forwarded(self):
        """Guards against a key that can't be encoded ending the stream to each peer.

        If the document were forwarded, every new stream would fail on it again.
        """
        registry = Registry()
        registry.write("servers/\ud800", SERVER)
        self.assertEqual(registry.gateway_state.documents(), [])


class TestLogging(unittest.TestCase):
    def setUp(self):
        self.registry = Registry()

    def test_each_reason_is_logged_once(self):
        for number in range(20):
            self.registry.write("servers/i-1", b"x" * number)
        for number in range(20):
            self.registry.write("servers/i-1", {**SERVER, "slots": -number})
        self.assertEqual(len(self.registry.unreadable_details()), 2)
        (slots,) = [
            detail for detail in self.registry.unreadable_details() if "slots" in detail
        ]
        self.assertLess(len(slots), 300)

    def test_it_is_logged_again_after_the_entry_was_valid(self):
        for document in (b"x", SERVER, b"x", b"x"):
            self.registry.write("servers/i-1", document)
        self.assertEqual(len(self.registry.unreadable_details()), 2)
        self.assertEqual(len(self.registry.events.of_kind("backend_listed")), 1)

    def test_that_an_entry_is_back_is_logged(self):
        for document in (SERVER, b"x", SERVER):
            self.registry.write("servers/i-1", document)
        self.assertEqual(len(self.registry.events.of_kind("backend_listed")), 2)

    def test_that_a_backend_server_begins_to_leave_is_logged(self):
        """Guards against a planned leave that is logged only as a removed entry.

        The previous state was read after the new one had been applied, so the change to
        leaving wasn't detected.
        """
        for document in (SERVER, SERVER, {**SERVER, "state": "draining"}):
            self.registry.write("servers/i-1", document)
        leaving = [
            line.leaving for line in self.registry.events.of_kind("backend_listed")
        ]
        self.assertEqual(leaving, [False, True])
        for document in (SERVER, b"x", SERVER, {**SERVER, "slots": 2}):
            self.registry.write("servers/i-1", document)
        self.assertEqual(len(self.registry.events.of_kind("backend_listed")), 2)

    def test_unreadable_documents_are_counted(self):
        meters = Meters()
        self.registry.write("servers/i-1", b"x")
        self.registry.write("op/config", b"x")
        for line in self.registry.events.lines:
            meters.count(line)
        for label in ("registry", "configuration"):
            found = meters.registry.get_sample_value(
                "bambootiller_unreadable_documents_total", {"document": label}
            )
            self.assertEqual(found, 1, label)


class TestAnyBytes(unittest.TestCase):
    @given(st.binary(), st.text(st.characters()))
    def test_no_bytes_and_no_key_end_the_watch_or_affect_others(self, value, name):
        registry = Registry()
        registry.write("servers/i-2", OTHER)
        registry.write("servers/i-1", SERVER)
        registry.write("servers/i-1", value)
        registry.write(f"servers/{name}", value)
        records = (Record("servers/i-2", encode(OTHER), 1),)
        self.assertIn("i-2", registry.usable_instances())
        registry.gateway_state.apply_listing("servers/", Found(records, 9), "store")
        self.assertEqual(registry.usable_instances(), ["i-2"])

    @given(st.sampled_from(REQUIRED_FIELDS), ANY_VALUE)
    def test_a_field_of_any_type_names_a_usable_address_or_nothing(self, name, value):
        registry = Registry()
        registry.write("servers/i-1", {**SERVER, name: value})
        for backend in registry.gateway_state.fleet:
            host, _, port = backend.registration.address.rpartition(":")
            self.assertTrue(host)
            self.assertIn(int(port), range(1, 65536))
            self.assertIn(backend.registration.slots, range(1, 2**16))
            self.assertEqual(type(backend.registration.zone), str)

    @given(st.sampled_from(REQUIRED_FIELDS), ANY_VALUE)
    def test_a_valid_entry_is_used_whatever_preceded_it(self, name, value):
        registry = Registry()
        for document in (SERVER, {**SERVER, name: value}, b"x"):
            registry.write("servers/i-1", document)
        if not registry.gateway_state.fleet.get("i-1").registration.leaving:
            registry.write("servers/i-1", {**SERVER, "slots": 3})
            self.assertEqual(registry.usable_instances(), ["i-1"])


class TestEntryProcess(unittest.IsolatedAsyncioTestCase):
    async def test_a_process_follows_the_registry_past_invalid_entries(self):
        async with Fleet() as fleet:
            fleet.configure(
                routes=[ROUTE, PLAIN_ROUTE], services=[SERVICE, {"name": "plain"}]
            )
            replica = await fleet.replica("127.0.0.2", "i-1", "plain")
            for number, document in enumerate(invalid_documents()):
                fleet.store.put(f"servers/foreign-{number}", encode(document))
            entry = await fleet.entry("e1")
            await fleet.wait_ready(entry)

            async def is_answered(attempt):
                status, _ = await fleet.call(entry, None, "/p/x", attempt)
                return status == 200

            await wait_until(lambda: is_answered("r-1"), "an answer")
            # Each invalid entry is logged, and the log takes 50 lines of a kind per
            # second: wait until it has room for the line that is checked below.
            await asyncio.sleep(2.0)
            fleet.store.put("servers/i-1", b"x")

            async def is_refused():
                return not await is_answered("r-2")

            await wait_until(is_refused, "the unreadable entry isn't used")
            fleet.store.put("servers/i-1", replica.entry())
            await wait_until(lambda: is_answered("r-3"), "an answer again")
            self.assertIsNone(entry.process.returncode)
            lines = entry.events("backend_unreadable")
            self.assertIn("servers/i-1", [line["key"] for line in lines])
