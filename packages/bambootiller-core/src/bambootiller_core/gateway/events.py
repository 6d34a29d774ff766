"""Splitting a stream of server-sent events into whole events.

Only whole events are passed on. A backend server that breaks off in the middle of one
would otherwise leave half an event with the caller, and a second run that goes on
behind it would be glued to that half.
"""

from __future__ import annotations

import re
from typing import NamedTuple

#: The separators with a carriage return; most streams have none.
_CR_SEPARATORS = (b"\r\n\r\n", b"\r\r")
#: So much of what has been looked through may be the beginning of a separator. Bytes.
_OVERLAP = 3
#: The first line that is named "id"; blanks around the name don't count.
_ID_LINE = re.compile(rb"(?:\A|[\r\n])[ \t\v\f]*id[ \t\v\f]*:([^\r\n]*)")
#: An event larger than this is passed on in parts, so that memory stays bounded.
LARGEST_EVENT_BYTES = 1 << 20


class Event(NamedTuple):
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
        self._has_cr = False

    @property
    def rest(self) -> bytes:
        """What has come of an event that isn't whole yet."""
        return bytes(self._held)

    def feed(self, data: bytes) -> list[Event]:
        """The events that ``data`` completes."""
        if b"\r" in data:
            self._has_cr = True
        held = self._held
        if not held:
            # Most events come whole: no need to look through them twice, nor to copy
            # them.
            found, end = _split(data, 0, self._has_cr)
            if end < len(data):
                held += data[end:]
        else:
            at = max(0, len(held) - _OVERLAP)
            held += data
            found, end = _split(held, at, self._has_cr)
            del held[:end]
        if len(held) > LARGEST_EVENT_BYTES:
            found.append(Event(bytes(held), None))
            held.clear()
        return found


def _split(data: bytes | bytearray, at: int, has_cr: bool) -> tuple[list[Event], int]:
    """The whole events, the first of which doesn't end before ``at``, and where the
    last of them ends."""
    found = []
    begin = 0
    while (end := _event_end(data, at, has_cr)) > 0:
        event = bytes(data[begin:end])
        found.append(Event(event, _number(event)))
        begin = at = end
    return found, begin


def _event_end(data: bytes | bytearray, at: int, has_cr: bool) -> int:
    """Where the event ends whose separator isn't before ``at``; 0 if it doesn't."""
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


def _number(event: bytes) -> int | None:
    if event.startswith(b"id:") and b"\r" not in event:
        # As nearly all events begin.
        text = event[3 : event.find(b"\n")].strip()
    elif (line := _ID_LINE.search(event)) is not None:
        text = line[1].strip()
    else:
        return None
    return int(text) if text.isdigit() else None
