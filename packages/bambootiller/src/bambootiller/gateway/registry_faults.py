"""Entries of the registry that can't be read, and what is said of them.

Others write under the registry's prefix too. An entry that can't be read names no
backend server to use, also if an earlier one did: an address that its owner doesn't
stand by any more may belong to somebody else by now.
"""

from __future__ import annotations

from bambootiller.gateway.event_log import EventLog
from bambootiller.gateway.ports import Unreadable
from bambootiller_core.gateway import log_lines as lines
from bambootiller_core.gateway.fleet import Fleet
from bambootiller_core.ports import Record

#: What a line says of a fault at most, in characters; enough for a field and its fault.
MAX_DETAIL_CHARS = 200
KEY_NOT_TEXT = "the key isn't text that a message can carry"


class RegistryFaults:
    """Takes unreadable entries out of use, and says each reason once.

    An entry may be rewritten each second. A line for each would leave out the lines of
    others; so the same reason is said again only after the entry was good.
    """

    def __init__(self, fleet: Fleet, events: EventLog) -> None:
        self._fleet = fleet
        self._events = events
        self._reported: dict[str, str] = {}

    def can_forward(self, record: Record, source: str) -> bool:
        """Whether messages to peers can carry the record's key.

        One that can't ends the stream to each peer with an exception, and again when
        the stream is opened anew; one sees all peers lost at once.
        """
        try:
            record.key.encode()
        except UnicodeEncodeError:
            self.mark_unreadable(record, None, Unreadable(KEY_NOT_TEXT), source)
            return False
        return True

    def mark_unreadable(
        self, record: Record, instance: str | None, why: Unreadable, source: str
    ) -> None:
        """Use the backend server that the entry named no longer."""
        held = self._fleet.get(instance) if instance is not None else None
        was_used = held is not None and held.readable
        if instance is not None:
            self._fleet.registry_unreadable(instance, record.mod_revision)
        detail = why.detail[:MAX_DETAIL_CHARS]
        if self._reported.get(record.key) == detail:
            return
        self._reported[record.key] = detail
        line = lines.BackendUnreadable(
            record.key, record.mod_revision, detail, was_used, source
        )
        self._events.emit(line)

    def mark_readable(self, key: str) -> None:
        """The entry can be read, or is gone; a later fault is said anew."""
        self._reported.pop(key, None)
