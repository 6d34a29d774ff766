"""Whether an entry knows the engines of a service, some seconds after its start.

Engines are listed one after the other, and their agents speak a moment later. Until
then a model whose only copy is at an engine that hasn't been heard of looks as if
nobody had a copy, and the weight store would be asked for it in vain.

Example::

    look = InitialDiscovery()
    if look.is_complete(now, backends, quiet_s=1.2): ...
"""

from __future__ import annotations

from collections.abc import Collection

from bambootiller_core.gateway.fleet import Backend

#: An agent that hasn't spoken by then isn't waited for: its process may be gone.
#: Seconds.
MAX_STALL_S = 5.0
#: Nor are engines that come and go waited for longer than this, or the weight store
#: would be asked for nothing while they do. Seconds since the first one was heard.
MAX_DISCOVERY_S = 10.0


class InitialDiscovery:
    """The look at one service, which is over once and for all."""

    def __init__(self) -> None:
        self._complete = False
        self._counts: tuple[int, int] = (0, 0)
        #: When the number of listed engines changed last, and when that or the number
        #: of those heard did.
        self._listed_changed_at: float | None = None
        self._changed_at: float | None = None
        self._first_heard_at: float | None = None

    def is_complete(
        self, now: float, backends: Collection[Backend], quiet_s: float
    ) -> bool:
        """Whether no engine has been listed for ``quiet_s``, and all were heard, or
        nothing at all has come to be known for :data:`MAX_STALL_S`, or the look has taken
        :data:`MAX_DISCOVERY_S`."""
        if self._complete:
            return True
        heard = sum([backend.engine is not None for backend in backends])
        counts = (len(backends), heard)
        if self._listed_changed_at is None or counts[0] != self._counts[0]:
            self._listed_changed_at = now
        if self._changed_at is None or counts != self._counts:
            self._counts, self._changed_at = counts, now
        if heard and self._first_heard_at is None:
            self._first_heard_at = now
        all_heard = 0 < len(backends) == heard
        is_settled = all_heard and now - self._listed_changed_at >= quiet_s
        is_stalled = now - self._changed_at >= MAX_STALL_S
        elapsed_s = (
            now - self._first_heard_at if self._first_heard_at is not None else 0.0
        )
        self._complete = is_settled or is_stalled or elapsed_s >= MAX_DISCOVERY_S
        return self._complete
