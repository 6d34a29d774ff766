"""Documents of peers that are older than what a process knows to be absent."""

import unittest
from types import SimpleNamespace

from bambootiller.gateway.gateway_state import GatewayState
from bambootiller_core.ports import Changed, Found, Record
from tests.gateway.common.document_exchange import (
    PREFIX,
    Directory,
    Link,
    Process,
    Store,
    use_loop,
)

KEY = f"{PREFIX}b1"


class TestDocumentRemovedBeforeAList(unittest.TestCase):
    def setUp(self):
        events = SimpleNamespace(emit=lambda line: None)
        self.state = GatewayState(Directory(), events, lambda: 0.0)
        self.state.apply_listing(PREFIX, Found((), 9), "store")
        self.state.mark_complete({PREFIX: 9})

    def test_a_peer_does_not_bring_it_back(self):
        """An entry that had just started used a replica that its list no longer had."""
        self.state.apply_document(Changed(Record(KEY, b"m0", 8)), "e1")
        self.assertEqual(list(self.state.fleet), [])

    def test_a_later_document_is_applied(self):
        self.state.apply_document(Changed(Record(KEY, b"m0", 10)), "e1")
        self.assertEqual([backend.instance for backend in self.state.fleet], ["b1"])


class TestRemovalUnknownToThePeer(unittest.TestCase):
    """The store serves ``reader``; ``cut_off`` depends on its peers."""

    def setUp(self):
        self.loop = use_loop(self)
        self.store = Store()
        self.store.put(KEY, b"m0")
        self.store.put(f"{PREFIX}b2", b"m0")
        self.reader = Process("e1", reads=True)
        self.cut_off = Process("e2", reads=False)
        self.link = Link(self.reader, self.cut_off)

    def exchange(self, seconds=10.0):
        self.loop.now += seconds
        for number in (0, 1, 0, 1):
            self.link.send(number)
            self.link.deliver(1 - number)

    def used(self):
        return sorted(backend.instance for backend in self.cut_off.state.fleet)

    def test_a_list_of_keys_removes_the_document(self):
        """An entry that the store turned away used a replica on that had left before
        the other entry's list."""
        self.reader.list(self.store)
        self.exchange()
        self.assertEqual(self.used(), ["b1", "b2"])
        self.store.remove(KEY)
        self.link.close()
        self.reader.restart()
        self.reader.list(self.store)
        self.link.open()
        self.exchange()
        self.exchange()
        self.assertEqual(self.used(), ["b2"])
        self.assertEqual(self.cut_off.state.table.complete, {PREFIX: 4})

    def test_a_removal_that_the_peer_watched_needs_no_list_of_keys(self):
        self.reader.list(self.store)
        self.exchange()
        self.store.remove(KEY)
        self.reader.watch(self.store, most=1)
        self.exchange()
        self.assertEqual(self.used(), ["b2"])
        self.assertEqual(self.cut_off.state.table.removals_since, {PREFIX: 3})
