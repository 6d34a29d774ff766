"""What processes tell one another, on a network without faults."""

import random
import unittest

from bambootiller_core._outbox import sends_for
from bambootiller_core.documents import PREFIXES, TEMPLATES_PREFIX, Document, Documents
from bambootiller_core.gossip import FetchFrom, Gossip, Message, Send
from bambootiller_core.membership import Status
from bambootiller_standins._gossip_network import Network
from tests.membership.common.builders import membership, said

KEY = f"{TEMPLATES_PREFIX}forge"
BOUND = 60.0


def document(revision: int, size: int = 10, key: str = KEY) -> Document:
    return Document(key, revision, b"x" * size)


def lone(*others: str, me: str = "me") -> Gossip:
    return Gossip(membership(*others, me=me), Documents(), random.Random(1))


def network(count: int, complete: bool = True) -> Network:
    """Nodes that know one another, with complete documents if asked for."""
    made = Network(seed=3)
    nodes = made.grow(count)
    if complete:
        for prefix in PREFIXES:
            made.act(nodes[0], nodes[0].gossip.adopt_read(made.now, prefix, [], 1))
    made.run(20.0)
    return made


class TestSpreading(unittest.TestCase):
    def test_a_small_document_travels_whole_to_all(self):
        net = network(24)
        first = net.nodes["n-0"]
        net.act(first, first.gossip.offer(net.now, [document(7)]))
        done = net.run_until(
            lambda: all(n.documents.get(KEY) == document(7) for n in net.running()),
            BOUND,
        )
        self.assertIsNotNone(done)

    def test_a_large_document_is_fetched_by_all(self):
        net = network(24)
        first = net.nodes["n-0"]
        large = document(7, size=50_000)
        net.act(first, first.gossip.offer(net.now, [large]))
        done = net.run_until(
            lambda: all(n.documents.get(KEY) == large for n in net.running()), BOUND
        )
        self.assertIsNotNone(done)

    def test_leaving_is_pushed_at_once_and_not_only_with_the_next_probe(self):
        gossip = lone("a", "b", "c", "d")
        effects = gossip.leave(1.0)
        self.assertEqual(len(effects), gossip.cfg.fanout)
        for effect in effects:
            self.assertIn(gossip.membership.own, effect.message.statements)

    def test_each_change_is_sent_a_bounded_number_of_times(self):
        gossip = lone(*"abcdefghijkl")
        gossip.documents.complete = True  # else it asks for all, and tells all
        now, sent = 0.0, 0
        gossip.offer(now, [document(7)])
        while now < BOUND:
            now += 0.05
            for effect in gossip.tick(now):
                message = effect.message
                sent += bool(message.documents or message.heads)
        self.assertGreater(sent, 0)
        self.assertLessEqual(sent, sends_for(13) + gossip.cfg.fanout)

    def test_an_answer_does_not_carry_back_what_the_request_told(self):
        gossip, news = lone("a", "b"), said("b", Status.LEAVING, 3)
        gossip.membership.merge(1.0, [news])
        told = Message("a", statements=(said("a"), news))
        self.assertNotIn(news, gossip.on_request(1.0, told).reply.statements)
        plain = Message("a", statements=(said("a"),))
        self.assertIn(news, gossip.on_request(1.0, plain).reply.statements)

    def test_a_process_taken_for_dead_is_told_so_and_comes_back(self):
        gossip = lone("a")
        gossip.membership.merge(1.0, [said("a", Status.DEAD)])
        reply = gossip.on_request(1.0, Message("a", statements=(said("a"),))).reply
        self.assertIn(said("a", Status.DEAD), reply.statements)


class TestComparing(unittest.TestCase):
    def test_a_missed_document_is_found_by_the_digests(self):
        net = network(12)
        node = net.nodes["n-5"]
        node.documents.offer(document(7))
        node.gossip._outbox.take(10, 100, 2)  # as if all its messages had been lost
        done = net.run_until(
            lambda: all(n.documents.get(KEY) == document(7) for n in net.running()),
            BOUND,
        )
        self.assertIsNotNone(done)

    def test_a_missed_member_is_found_by_the_digests(self):
        net = network(12)
        stranger = said("stranger", Status.LEAVING)
        net.nodes["n-5"].membership._table.hold(net.now, stranger)
        found = net.run_until(
            lambda: net.seen("stranger", Status.LEAVING) + net.seen("stranger", None)
            < 12,
            BOUND,
        )
        self.assertIsNotNone(found)

    def test_nothing_is_compared_in_full_while_nothing_differs(self):
        net = network(12)
        before = sum(node.gossip.full_exchanges for node in net.running())
        net.run(BOUND)
        after = sum(node.gossip.full_exchanges for node in net.running())
        self.assertEqual(after, before)

    def test_an_operators_question_gets_everything_and_changes_nothing(self):
        gossip = lone("a")
        heard = gossip.membership.health
        reply = gossip.on_request(99.0, Message("", full=True)).reply
        told = {one.instance for one in reply.statements}
        self.assertEqual(told, {"a", "me"})
        self.assertTrue(heard.cut_off(99.0))


class TestFetching(unittest.TestCase):
    def test_a_document_is_asked_for_once_however_many_tell_of_it(self):
        gossip = lone("a", "b")
        heads = document(7), document(8, key=f"{TEMPLATES_PREFIX}regie")
        told = Message("a", heads=tuple(_heads(heads)))
        first = gossip.on_request(1.0, told).effects
        again = gossip.on_request(1.0, Message("b", heads=told.heads)).effects
        self.assertEqual(len(_fetches(first)), 1)
        self.assertEqual(_fetches(again), [])

    def test_a_fetch_that_failed_goes_to_another_peer(self):
        gossip = lone("a", "b")
        told = Message("a", heads=tuple(_heads([document(7)])))
        fetch = _fetches(gossip.on_request(1.0, told).effects)[0]
        self.assertEqual(fetch.to.instance, "a")
        again = _fetches(gossip.on_failed(2.0, fetch.ticket))[0]
        self.assertEqual((again.to.instance, again.keys), ("b", (KEY,)))

    def test_a_fetch_is_given_up_after_a_few_peers_and_nothing_is_asked_in_vain(self):
        gossip = lone("a", "b")
        told = Message("a", heads=tuple(_heads([document(7)])))
        fetch = _fetches(gossip.on_request(1.0, told).effects)[0]
        behind = gossip.on_fetched(1.1, fetch.ticket, [document(6)])
        self.assertEqual(_fetches(behind), [])
        fetches = _fetches(gossip.on_request(1.2, told).effects)
        tries = 0
        while fetches:
            tries += 1
            fetches = _fetches(gossip.on_failed(1.2, fetches[0].ticket))
        self.assertEqual(tries, gossip.cfg.fetch_tries)

    def test_an_answer_is_bounded_and_the_rest_is_asked_for_again(self):
        net = network(2)
        first = net.nodes["n-0"]
        size = first.gossip.cfg.fetch_bytes // 2
        many = [
            document(10 + i, size, key=f"{TEMPLATES_PREFIX}c-{i}") for i in range(5)
        ]
        answer = first.gossip.on_fetch([], everything=True)
        self.assertEqual(answer, ())
        net.act(first, first.gossip.offer(net.now, many))
        self.assertEqual(len(first.gossip.on_fetch([], everything=True)), 2)
        second = net.nodes["n-1"].documents
        done = net.run_until(lambda: len(second) == len(many), BOUND)
        self.assertIsNotNone(done)

    def test_two_processes_without_documents_do_not_confirm_each_other(self):
        net = network(2, complete=False)
        self.assertFalse(any(node.documents.complete for node in net.running()))


def _heads(documents):
    held = Documents()
    for one in documents:
        held.offer(one)
    return held.heads()


def _fetches(effects: list[Send | FetchFrom]) -> list[FetchFrom]:
    return [effect for effect in effects if isinstance(effect, FetchFrom)]
