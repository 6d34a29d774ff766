"""Which documents a process forwards to a peer, and when."""

import unittest
from unittest import mock

from bambootiller_core import rendezvous
from bambootiller_core.gateway.document_propagation import (
    AGENT_RANKS,
    SELF_UPDATE_GRACE_S,
    STAGGER_S,
    PeerQueue,
    agent_rank,
    entry_rank,
    is_covered,
)
from bambootiller_core.ports import Changed, Record

ENTRIES = tuple([f"e{number}" for number in range(32)])


def change(key="config/x", revision=7):
    return Changed(Record(key, b"v", revision))


class TestPeerQueue(unittest.TestCase):
    def setUp(self):
        self.queue = PeerQueue()

    def due(self, now):
        return [item.record.key for item in self.queue.due(now)]

    def test_nothing_is_sent_before_the_peer_reports_its_revisions(self):
        self.queue.add(0.0, change(), rank=0)
        self.assertEqual(self.due(9.0), [])
        self.queue.peer_has({})
        self.assertEqual(self.due(9.0), ["config/x"])
        self.assertTrue(self.queue.is_empty)

    def test_a_peer_that_reads_a_document_itself_is_not_sent_it(self):
        """Symptom: each change of the configuration is sent on a thousand streams.

        Every process forwarded every document to every peer, though all but a few
        peers had just read it from the store.
        """
        self.queue.peer_has({"config/": 6})
        self.queue.add(0.0, change(), rank=1)
        self.queue.peer_has({"config/": 7})
        self.assertEqual(self.due(9.0), [])

    def test_a_peer_that_does_not_catch_up_is_sent_it_after_the_grace_period(self):
        self.queue.peer_has({"config/": 6})
        self.queue.add(0.0, change(), rank=1)
        self.assertEqual(self.due(SELF_UPDATE_GRACE_S / 2), [])
        self.assertFalse(self.queue.is_empty)
        self.queue.peer_has({"config/": 6})
        self.assertEqual(self.due(SELF_UPDATE_GRACE_S), ["config/x"])

    def test_a_peer_that_does_not_read_by_itself_is_sent_it_without_the_grace(self):
        """Guards against a leave that a peer without the store learns of too late."""
        self.queue.peer_has({"config/": 6})
        self.queue.add(0.0, change(), rank=1)
        self.queue.add(0.0, change("registry/x"), rank=3)
        self.queue.skip_grace(lambda key: key.startswith("registry/"))
        self.assertEqual(self.queue.next_due(), 2 * STAGGER_S)
        self.assertEqual(self.due(2 * STAGGER_S), ["registry/x"])
        self.assertEqual(self.due(SELF_UPDATE_GRACE_S), ["config/x"])

    def test_parts_of_the_store_are_independent(self):
        self.queue.peer_has({"registry/": 90})
        self.queue.add(0.0, change(), rank=0)
        self.assertEqual(self.due(0.0), ["config/x"])

    def test_only_the_latest_revision_is_sent(self):
        self.queue.peer_has({})
        for revision in (7, 8):
            self.queue.add(0.0, change(revision=revision), rank=0)
        (sent,) = self.queue.due(0.0)
        self.assertEqual(sent.record.mod_revision, 8)


class TestRanks(unittest.TestCase):
    """Symptom: during changes of the configuration calls exceed their timeout.

    Each process that had a configuration sent it to each peer that hadn't reported its
    revision yet, thirty at a time. That saturated the links of small instances, and
    answers of calls were queued behind.
    """

    def ranks(self, entries=ENTRIES):
        return {name: entry_rank(name, "a1", entries) for name in ENTRIES}

    def test_one_entry_sends_to_an_agent_at_once_and_the_others_one_by_one(self):
        self.assertEqual(sorted(self.ranks().values()), list(range(len(ENTRIES))))

    def test_an_entry_that_knows_no_other_sends_at_once(self):
        self.assertEqual(entry_rank("e1", "a1", ()), 0)

    def test_an_entry_that_is_not_in_the_list_counts_itself(self):
        without = tuple([name for name in ENTRIES if name != "e3"])
        self.assertIn(0, self.ranks(without).values())

    def test_agents_send_to_an_entry_one_by_one_and_not_at_once(self):
        ranks = [agent_rank(f"a{number}", "e1") for number in range(400)]
        self.assertEqual(set(ranks), set(range(1, AGENT_RANKS + 1)))

    def test_a_peer_that_reports_in_time_is_sent_it_by_one(self):
        sent_count = 0
        for rank in range(len(ENTRIES)):
            queue = PeerQueue()
            queue.peer_has({"config/": 6})
            queue.add(0.0, change(), rank)
            sent_count += len(queue.due(0.3))
            queue.peer_has({"config/": 6, "config/x": 7})
            sent_count += len(queue.due(60.0))
        self.assertEqual(sent_count, 1)

    def test_a_silent_peer_is_sent_it_by_few_within_a_second(self):
        sent_count = 0
        for rank in range(len(ENTRIES)):
            queue = PeerQueue()
            queue.peer_has({"config/": 6})
            queue.add(0.0, change(), rank)
            sent_count += len(queue.due(SELF_UPDATE_GRACE_S + 2 * STAGGER_S))
        self.assertEqual(sent_count, 4)

    def test_rankings_are_cached(self):
        """Symptom: an entry at rest spends a tenth of a core on its peers.

        For each new document it computed the ranking of all entries for each agent.
        """
        with mock.patch.object(rendezvous, "weight", wraps=rendezvous.weight) as weigh:
            for _ in range(100):
                entry_rank("e1", "weighed once", ENTRIES)
        self.assertLessEqual(weigh.call_count, len(ENTRIES))


class TestIsCovered(unittest.TestCase):
    def test_up_to_the_revision_and_not_beyond(self):
        self.assertTrue(is_covered({"config/": 7}, change(revision=7)))
        self.assertFalse(is_covered({"config/": 7}, change(revision=8)))
        self.assertFalse(is_covered({}, change()))

    def test_a_single_key_does_not_cover_keys_that_begin_like_it(self):
        self.assertTrue(is_covered({"config/x": 7}, change(revision=7)))
        self.assertFalse(is_covered({"config/x": 7}, change("config/xy", revision=7)))
