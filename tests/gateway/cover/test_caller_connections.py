"""Which connections stay open when there are too many."""

import unittest

from bambootiller_core.gateway.caller_connections import CallerConnections


class TestCallerConnections(unittest.TestCase):
    def setUp(self):
        self.connections = CallerConnections(3)
        self.evicted = []

    def connect(self, name):
        return self.connections.open(lambda: self.evicted.append(name))

    def test_the_one_that_is_idle_for_longest_goes_first(self):
        found = [self.connect(name) for name in "abc"]
        found[0].receiving()
        found[0].served()
        found[0].idle()
        self.connect("d")
        self.assertEqual(self.evicted, ["b"])
        self.assertEqual(self.connections.count, 3)

    def test_one_that_is_receiving_goes_after_idle_ones(self):
        found = [self.connect(name) for name in "abc"]
        found[0].receiving()
        for name in "de":
            self.connect(name)
        self.assertEqual(self.evicted, ["b", "c"])

    def test_the_request_that_has_been_arriving_for_longest_goes_first(self):
        found = [self.connect(name) for name in "abc"]
        for one in reversed(found):
            one.receiving()
            one.receiving()
        self.connect("d")
        self.assertEqual(self.evicted, ["c"])

    def test_a_request_that_is_being_served_keeps_its_connection(self):
        for name in "abc":
            self.connect(name).served()
        self.assertIsNone(self.connect("d"))
        self.assertEqual(self.evicted, [])
        self.assertEqual(self.connections.evicted, 1)

    def test_a_closed_connection_makes_room(self):
        found = [self.connect(name) for name in "abc"]
        found[1].closed()
        found[1].closed()
        found[1].idle()
        self.assertEqual(self.connections.count, 2)
        self.connect("d")
        self.assertEqual(self.evicted, [])
