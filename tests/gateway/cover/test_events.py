"""Whole events out of bytes that come in any portions."""

import unittest

from hypothesis import given, strategies as st

from bambootiller_core.gateway.events import LARGEST_EVENT_BYTES, EventSplitter

STREAM = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: three\n\n"


class TestEventSplitter(unittest.TestCase):
    @given(st.lists(st.integers(0, len(STREAM)), max_size=8))
    def test_portions_make_no_difference(self, cuts):
        splitter = EventSplitter()
        edges = [0, *sorted(cuts), len(STREAM)]
        events = []
        for begin, end in zip(edges, edges[1:]):
            events += splitter.feed(STREAM[begin:end])
        self.assertEqual([event.number for event in events], [1, 2, 3])
        self.assertEqual(b"".join(event.data for event in events), STREAM)
        self.assertEqual(splitter.rest, b"")

    def test_half_an_event_is_held_back(self):
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\ndata: o"), [])
        self.assertEqual(splitter.rest, b"id: 1\ndata: o")

    def test_other_line_ends_are_understood(self):
        (event,) = EventSplitter().feed(b"id: 9\r\ndata: x\r\n\r\n")
        self.assertEqual(event.number, 9)

    def test_an_event_without_a_number_is_passed_on_too(self):
        (event,) = EventSplitter().feed(b"data: x\n\n")
        self.assertIsNone(event.number)

    def test_memory_is_bounded(self):
        splitter = EventSplitter()
        events = splitter.feed(b"x" * (LARGEST_EVENT_BYTES + 1))
        self.assertEqual(len(events), 1)
        self.assertEqual(splitter.rest, b"")
