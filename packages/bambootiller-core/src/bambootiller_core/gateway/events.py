"""Splits a stream of server-sent events into complete events.

Only complete events are forwarded. Otherwise a backend server that breaks off in the
middle of an event would leave the caller with a part of it, and the output of a second
run that resumes there would be appended to that part.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import NamedTuple

#: The event separators with a carriage return; most streams have none.
_CR_SEPARATORS = (b"\r\n\r\n", b"\r\r")
#: The end of the data already searched that may be the start of a separator. Bytes.
_OVERLAP = 3
#: The first line with the field "id"; whitespace around the field name is ignored.
_ID_LINE = re.compile(rb"(?:\A|[\r\n])[ \t\v\f]*id[ \t\v\f]*:([^\r\n]*)")
#: A larger event is forwarded in parts, so that memory stays bounded.
MAX_EVENT_BYTES = 1 << 20
#: How much is searched for events at a time. Bytes.
SLICE_BYTES = 2048


class Event(NamedTuple):
    """The bytes of a complete event including its separator, and its number if it has
    one."""

    data: bytes
    number: int | None


class EventSplitter:
    """Buffers bytes and returns complete events.

    >>> splitter = EventSplitter()
    >>> [event.number for event in splitter.feed(b"id: 4\\ndata: x\\n\\nid: 5\\n")]
    [4]
    >>> splitter.remainder
    b'id: 5\\n'
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._has_cr = False

    @property
    def remainder(self) -> bytes:
        """The buffered part of an event that isn't complete yet."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """The events that ``data`` completes."""
        if b"\r" in data:
            self._has_cr = True
        buffer = self._buffer
        if not buffer:
            # Most events arrive complete: don't search them twice, or copy them into
            # the buffer.
            found, end = _split(data, 0, self._has_cr)
            if end < len(data):
                buffer += data[end:]
        else:
            at = max(0, len(buffer) - _OVERLAP)
            buffer += data
            found, end = _split(buffer, at, self._has_cr)
            del buffer[:end]
        if len(buffer) > MAX_EVENT_BYTES:
            found.append(Event(bytes(buffer), None))
            buffer.clear()
        return found

    def feed_in_slices(self, data: bytes) -> Iterator[list[Event]]:
        """The events that ``data`` completes, a bounded number of them at a time."""
        for begin in range(0, len(data), SLICE_BYTES):
            events = self.feed(data[begin : begin + SLICE_BYTES])
            if events:
                yield events


def _split(data: bytes | bytearray, at: int, has_cr: bool) -> tuple[list[Event], int]:
    """The complete events in ``data``, and the offset where the last of them ends. The
    first one doesn't end before ``at``."""
    found = []
    begin = 0
    while (end := _event_end(data, at, has_cr)) > 0:
        event = bytes(data[begin:end])
        found.append(Event(event, _event_number(event)))
        begin = at = end
    return found, begin


def _event_end(data: bytes | bytearray, at: int, has_cr: bool) -> int:
    """The end offset of the first event whose separator doesn't start before ``at``; 0
    if there is none."""
    end = data.find(b"\n\n", at) + 2
    if end == 1:
        end = 0
    if not has_cr:
        return end
    for separator in _CR_SEPARATORS:
        other = data.find(separator, at)
        if other >= 0 and (not end or other + len(separator) < end):
            end = other + len(separator)
    return end


def _event_number(event: bytes) -> int | None:
    if event.startswith(b"id:") and b"\r" not in event:
        # The fast path: nearly all events start like this.
        text = event[3 : event.find(b"\n")].strip()
    elif (line := _ID_LINE.search(event)) is not None:
        text = line[1].strip()
    else:
        return None
    return int(text) if text.isdigit() else None
