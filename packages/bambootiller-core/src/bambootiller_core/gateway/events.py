"""Splitting a stream of server-sent events into whole events.

Only whole events are passed on. A backend server that breaks off in the middle of one
would otherwise leave half an event with the caller, and a second run that goes on
behind it would be glued to that half.
"""

from __future__ import annotations

from dataclasses import dataclass

_SEPARATORS = (b"\n\n", b"\r\n\r\n", b"\r\r")
#: An event larger than this is passed on in parts, so that memory stays bounded.
LARGEST_EVENT_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class Event:
    """The bytes of one whole event with its separator, and its number if it has one."""

    data: bytes
    number: int | None


class EventSplitter:
    """Collects bytes and hands out whole events.

    >>> splitter = EventSplitter()
    >>> [event.number for event in splitter.feed(b"id: 4\\ndata: x\\n\\nid: 5\\n")]
    [4]
    >>> splitter.rest
    b'id: 5\\n'
    """

    def __init__(self) -> None:
        self._held = bytearray()

    @property
    def rest(self) -> bytes:
        """What has come of an event that isn't whole yet."""
        return bytes(self._held)

    def feed(self, data: bytes) -> list[Event]:
        """The events that ``data`` completes."""
        held = self._held
        held += data
        found = []
        while (end := _event_end(held)) is not None:
            whole = bytes(held[:end])
            del held[:end]
            found.append(Event(whole, _number(whole)))
        if len(held) > LARGEST_EVENT_BYTES:
            found.append(Event(bytes(held), None))
            held.clear()
        return found


def _event_end(held: bytearray) -> int | None:
    ends = [
        at + len(separator)
        for separator in _SEPARATORS
        if (at := held.find(separator)) >= 0
    ]
    return min(ends, default=None)


def _number(event: bytes) -> int | None:
    for line in event.splitlines():
        name, colon, value = line.partition(b":")
        if colon and name.strip() == b"id":
            text = value.strip()
            return int(text) if text.isdigit() else None
    return None
