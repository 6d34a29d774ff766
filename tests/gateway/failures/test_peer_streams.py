"""Updates on a stream between two processes, and the documents they forward."""

import asyncio
import unittest

from bambootiller.gateway.exchange import PeerStream, Update
from bambootiller.gateway.gateway_state import GatewayState
from bambootiller.gateway.ports import Unreadable
from bambootiller_core.ports import Changed, Record
from tests.gateway.common.samples import engine_state, registration


class Events:
    """Keeps the lines that would be logged."""

    def __init__(self):
        self.lines = []

    def emit(self, line):
        self.lines.append(line)


class TestPeerStreamUpdates(unittest.IsolatedAsyncioTestCase):
    """What one side of a stream sends, in its first update and in later ones."""

    async def asyncSetUp(self):
        class Directory:
            def config(self, record):
                return None

            def registration(self, record):
                return registration("b1", revision=record.mod_revision)

            def instance_of(self, key):
                return None

        self.events = Events()
        self.gateway_state = GatewayState(Directory(), self.events, lambda: 0.0)
        self.peer_stream = self.new_peer_stream()

    def new_peer_stream(self):
        return PeerStream("e1", self.gateway_state, self.fill, lambda: 1, 60.0)

    @staticmethod
    def fill(update, peer_stream):
        if not peer_stream.last_sent.get("collect_sent"):
            peer_stream.last_sent["collect_sent"] = True
            update.entry.collect = True

    def peer_update(self, begins=True, complete=None):
        return Update(sender="a1", begins=begins, complete=complete or {})

    async def test_the_first_update_is_complete_and_a_heartbeat_is_empty(self):
        first = self.peer_stream._next_update()
        self.assertTrue(first.begins and first.entry.collect)
        self.peer_stream.received_message(self.peer_update())
        self.peer_stream._next_update()
        self.peer_stream._next_update()
        self.assertEqual(self.peer_stream._next_update().ByteSize(), 0)

    async def test_updates_are_complete_until_the_peer_has_sent_one(self):
        self.peer_stream._next_update()
        again = self.peer_stream._next_update()
        self.assertTrue(again.begins and again.entry.collect)

    async def test_updates_to_a_peer_of_an_earlier_version_are_complete(self):
        """Such a peer takes what isn't repeated as gone, and would consider this side
        silent."""
        self.peer_stream.received_message(self.peer_update(begins=False))
        for _ in range(3):
            update = self.peer_stream._next_update()
            self.assertEqual(update.sender, "e1")
            self.assertTrue(update.HasField("entry"))

    async def test_a_new_revision_is_sent_once(self):
        self.peer_stream.received_message(self.peer_update())
        self.peer_stream._next_update()
        self.peer_stream._next_update()
        self.gateway_state.mark_complete({"servers/": 8})
        self.assertEqual(
            dict(self.peer_stream._next_update().complete), {"servers/": 8}
        )
        self.assertEqual(self.peer_stream._next_update().ByteSize(), 0)
        self.gateway_state.mark_complete({"servers/": 7})
        self.assertEqual(self.peer_stream._next_update().ByteSize(), 0)

    async def test_a_heartbeat_does_not_reset_the_peers_revisions(self):
        self.peer_stream.received_message(self.peer_update(complete={"servers/": 8}))
        self.peer_stream.received_message(Update())
        self.peer_stream.document(Changed(Record("servers/b1", b"", 8)))
        self.assertTrue(self.peer_stream._documents.is_empty)

    async def test_a_registry_heartbeat_is_not_forwarded(self):
        """Symptom: an idle fleet spends most of its processor time on updates.

        Each backend server renews its registration about once a second. Each process
        queued each of these writes for each of its peers, a thousand streams with 32
        entries, and each read of the registry caused a message on all of them.
        """
        forwarded = []
        self.gateway_state.on_document(forwarded.append)
        for revision in (3, 4, 5):
            record = Record("servers/b1", b"", revision)
            self.gateway_state.apply_document(Changed(record), "store")
        self.assertEqual(len(forwarded), 1)

    async def test_registry_changes_that_the_agent_reports_are_not_forwarded(self):
        """Symptom: entries of a large fleet spend a sixth of their work on documents.

        Each load and unload changed the registration of an engine, and each process
        queued that for each of its peers, which have it from the agent already.
        """
        forwarded = []
        self.gateway_state.on_document(forwarded.append)
        self.apply_registration({"tutor"}, revision=3)
        state = engine_state("b1", ("tutor",))
        self.gateway_state.fleet.engine_reported(0.0, state)
        self.apply_registration({"poet"}, revision=4)
        self.assertEqual(len(forwarded), 1)
        self.assertEqual(self.gateway_state.changed.count, 1)

    async def test_registry_changes_without_an_agent_are_forwarded(self):
        forwarded = []
        self.gateway_state.on_document(forwarded.append)
        self.apply_registration({"tutor"}, revision=3)
        self.apply_registration({"poet"}, revision=4)
        self.assertEqual(len(forwarded), 2)

    def apply_registration(self, models, revision):
        self.gateway_state._directory.registration = lambda record: registration(
            "b1",
            revision=revision,
            holdings=dict.fromkeys(models, frozenset()),
        )
        self.gateway_state.apply_document(
            Changed(Record("servers/b1", b"", revision)), "store"
        )

    async def test_a_late_write_of_a_previous_start_is_not_forwarded(self):
        """Symptom: an agent mistakes its engine for a previous start of it.

        A write was delayed until after the engine's restart. A process that reads the
        registry has just seen the later start and ignores the write. An agent, which
        isn't sent heartbeats, would take a start as over that nobody reported for 10 s.
        """
        forwarded = []
        self.gateway_state.on_document(forwarded.append)
        starts = {3: 2000, 4: 1000}
        self.gateway_state._directory.registration = lambda record: registration(
            "b1",
            revision=record.mod_revision,
            started_ms=starts[record.mod_revision],
        )
        for revision in starts:
            record = Record("servers/b1", b"", revision)
            self.gateway_state.apply_document(Changed(record), "store")
        self.assertEqual([one.record.mod_revision for one in forwarded], [3])

    async def test_forwarding_waits_for_the_peers_own_read_of_the_registry(
        self,
    ):
        """Symptom: each change of the registry is still sent on every stream.

        With a longer allowance until a leaving backend server gets no work, the
        registry is read less often, and a peer was sent a change before it read it.
        """
        self.peer_stream.received_message(self.peer_update(complete={"servers/": 7}))
        self.gateway_state.batch_delay_s = 1.2
        self.peer_stream.document(Changed(Record("servers/b1", b"", 8)))
        due = self.peer_stream._documents.next_due()
        self.assertGreater(due - asyncio.get_running_loop().time(), 1.2 + 0.8)

    async def test_a_higher_registry_revision_causes_no_extra_update(self):
        notifications = []
        self.gateway_state.on_complete(lambda: notifications.append(1))
        self.gateway_state.mark_complete({"servers/": 8})
        self.assertEqual(notifications, [])

    async def test_a_new_configuration_is_reported_immediately(self):
        notifications = []
        self.gateway_state.on_complete(lambda: notifications.append(1))
        self.gateway_state._directory.config = lambda record: Unreadable("none")
        self.gateway_state.apply_document(Changed(Record("op/config", b"", 9)), "store")
        self.gateway_state.mark_complete({"op/": 9})
        self.assertEqual(notifications, [1])

    async def test_a_forwarded_configuration_is_logged(self):
        self.gateway_state._directory.config = lambda record: Unreadable("none")
        self.peer_stream.received_message(
            self.peer_update(complete={"op/": 6, "servers/": 40})
        )
        change = Changed(Record("op/config", b"12345", 9))
        self.gateway_state.apply_document(change, "store")
        self.peer_stream._documents.add(0.0, change, rank=0)
        self.peer_stream._next_update()
        line = self.events.lines[-1]
        self.assertEqual(
            (
                line.event,
                line.revision,
                line.size_bytes,
                line.peer,
                line.peer_has,
            ),
            ("config_passed_on", 9, 5, "a1", 6),
        )

    def apply_config(self, revision, source):
        self.gateway_state._directory.config = lambda record: Unreadable("none")
        change = Changed(Record("op/config", b"12345", revision))
        self.gateway_state.apply_document(change, source)

    async def test_a_configuration_received_from_a_peer_is_acknowledged(self):
        """Symptom: links are full of configurations when the store loses answers.

        A process that received a configuration from a peer couldn't tell that it had
        all documents up to that revision, so it never acknowledged it. All others sent
        it once more, and its sender was sent it back.
        """
        self.peer_stream.received_message(self.peer_update(complete={"op/": 6}))
        self.peer_stream._next_update()
        notifications = []
        self.gateway_state.on_complete(lambda: notifications.append(1))
        self.apply_config(9, "a1")
        self.assertEqual(notifications, [1])
        self.assertEqual(
            dict(self.peer_stream._next_update().complete), {"op/config": 9}
        )

    async def test_a_configuration_is_not_sent_back(self):
        update = self.peer_update(complete={"op/": 6, "op/config": 9})
        self.peer_stream.received_message(update)
        self.apply_config(9, "a1")
        self.assertTrue(self.peer_stream._documents.is_empty)

    async def test_a_write_without_changes_notifies_nobody(self):
        for revision in (3, 4, 5):
            record = Record("servers/b1", b"", revision)
            self.gateway_state.apply_document(Changed(record), "store")
        self.assertEqual(self.gateway_state.changed.count, 1)
