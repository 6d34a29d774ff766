"""Splitting a stream of bytes, received in any chunks, into whole events."""

import unittest

from hypothesis import given, strategies as st

from bambootiller_core.gateway.events import MAX_EVENT_BYTES, EventSplitter

STREAM = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: three\n\n"


PIECES = (
    *(b"\n", b"\r", b"\r\n", b"\n\n", b"\t", b"\v", b" ", b"\x85"),
    *(b"id", b":", b"id: 7", b"id:8", b"id : 3", b"data: x", b"12", b"x"),
)
SEPARATORS = (b"\n\n", b"\r\n\r\n", b"\r\r")


def naive_split(stream):
    """The events with their numbers, and the remaining bytes, by a naive parser."""
    found = []
    while True:
        ends = [
            stream.find(separator) + len(separator)
            for separator in SEPARATORS
            if separator in stream
        ]
        if not ends:
            return found, stream
        event, stream = stream[: min(ends)], stream[min(ends) :]
        found.append((event, naive_number(event)))


def naive_number(event):
    for line in event.splitlines():
        name, colon, value = line.partition(b":")
        if colon and name.strip() == b"id":
            return int(value) if value.strip().isdigit() else None
    return None


class TestEventSplitter(unittest.TestCase):
    @given(st.lists(st.integers(0, len(STREAM)), max_size=8))
    def test_chunk_boundaries_make_no_difference(self, cuts):
        splitter = EventSplitter()
        edges = [0, *sorted(cuts), len(STREAM)]
        events = []
        for begin, end in zip(edges, edges[1:]):
            events += splitter.feed(STREAM[begin:end])
        self.assertEqual([event.number for event in events], [1, 2, 3])
        self.assertEqual(b"".join(event.data for event in events), STREAM)
        self.assertEqual(splitter.remainder, b"")

    @given(st.lists(st.lists(st.sampled_from(PIECES), max_size=6), max_size=6))
    def test_any_lines_in_any_chunks_are_split_as_by_a_naive_parser(self, chunks):
        splitter = EventSplitter()
        events = []
        for chunk in chunks:
            events += splitter.feed(b"".join(chunk))
        whole = b"".join(piece for chunk in chunks for piece in chunk)
        expected, remainder = [], b""
        for chunk in chunks:
            more, remainder = naive_split(remainder + b"".join(chunk))
            expected += more
        self.assertEqual([(event.data, event.number) for event in events], expected)
        self.assertEqual(splitter.remainder, remainder)
        self.assertEqual(b"".join(event.data for event in events) + remainder, whole)

    def test_an_incomplete_event_is_buffered(self):
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\ndata: o"), [])
        self.assertEqual(splitter.remainder, b"id: 1\ndata: o")

    def test_other_line_ends_are_accepted(self):
        (event,) = EventSplitter().feed(b"id: 9\r\ndata: x\r\n\r\n")
        self.assertEqual(event.number, 9)

    def test_an_event_without_a_number_is_forwarded_too(self):
        (event,) = EventSplitter().feed(b"data: x\n\n")
        self.assertIsNone(event.number)

    def test_memory_is_bounded(self):
        splitter = EventSplitter()
        events = splitter.feed(b"x" * (MAX_EVENT_BYTES + 1))
        self.assertEqual(len(events), 1)
        self.assertEqual(splitter.remainder, b"")
