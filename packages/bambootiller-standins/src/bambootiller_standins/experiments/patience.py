"""A variant of the entry's rules with less patience, as they were before round 7.

An agent whose memory is all in use refuses at once and says when to come back. This
variant passes that on as soon as no other holder is left, and waits only a short time
for a place; it measures what the entry's own patience is worth.
"""

from __future__ import annotations

from typing import Any

from bambootiller.entry.relay.core import Action, RelayCore
from bambootiller_core.outcomes import Refused

#: How long a request waits for a place. Seconds.
PATIENCE_S = 5.0


class ImpatientRelay(RelayCore):
    """The entry's rules with less patience; only for measuring."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **(options | {"patience_s": PATIENCE_S}))

    def _wait_for_memory(self, now: float, refused: Refused) -> Action:
        return self._finish(refused)
