"""Registrations that can't be read: their effect and their log lines.

Other writers use the registry's prefix too. While a registration can't be read, its
backend server isn't used, even if an earlier version could be read: an address that its
owner no longer confirms may belong to another server by now.
"""

from __future__ import annotations

from bambootiller.gateway.event_log import EventLog
from bambootiller.gateway.ports import Unreadable
from bambootiller_core.gateway import log_lines as lines
from bambootiller_core.gateway.fleet import Fleet
from bambootiller_core.ports import Record

#: The longest description of a fault in a log line, in characters; enough for a field
#: and its fault.
MAX_DETAIL_CHARS = 200
KEY_NOT_TEXT = "the key is not valid text, so messages cannot carry it"


class RegistryFaults:
    """Takes backend servers with unreadable registrations out of use, and logs each
    reason once.

    A registration may be rewritten each second. A line for each write would use up the
    event's line budget and crowd out other registrations' lines; so the same reason is
    logged again only after the registration could be read.
    """

    def __init__(self, fleet: Fleet, events: EventLog) -> None:
        self._fleet = fleet
        self._events = events
        self._reported_faults: dict[str, str] = {}

    def can_forward(self, record: Record, source: str) -> bool:
        """Whether messages to peers can carry the record's key.

        A key that can't be encoded would end the stream to each peer with an exception,
        and end it again each time it is reopened: all peers would be lost at once.
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
        """Stop using the backend server of the registration, and log the reason."""
        held = self._fleet.get(instance) if instance is not None else None
        was_used = held is not None and held.readable
        if instance is not None:
            self._fleet.registry_unreadable(instance, record.mod_revision)
        detail = why.detail[:MAX_DETAIL_CHARS]
        if self._reported_faults.get(record.key) == detail:
            return
        self._reported_faults[record.key] = detail
        line = lines.BackendUnreadable(
            record.key, record.mod_revision, detail, was_used, source
        )
        self._events.emit(line)

    def mark_readable(self, key: str) -> None:
        """Record that the registration can be read or is gone, so that a later fault
        is logged again."""
        self._reported_faults.pop(key, None)
