"""A variant of the entry's rules: wait for memory, and longer for a place.

An agent whose memory is all in use refuses at once and says when to come back. The
entry passes that on once no other holder is left, although the caller may have time to
spare and the memory often comes free as soon as a batch of answers ends.
"""

from __future__ import annotations

from collections.abc import Sequence

from bambootiller.entry.relay.core import LOOK_AGAIN_S, Action, RelayCore, Wait
from bambootiller_core.outcomes import Code, Refused

#: How long a request waits for a place. The platform's list takes ten seconds to show
#: that an instance is gone, and only then its slots may move.
PATIENCE_S = 15.0
#: Attempts of a request that is refused for want of memory.
MOST_ATTEMPTS = 8
#: The pause before memory is asked for again. Seconds.
ASK_AGAIN_S = 0.5


class PatientRelay(RelayCore):
    """The entry's rules with more patience; only for measuring."""

    def _again(self, now: float, refused: Refused, ranked: Sequence[str]) -> Action:
        if refused.code is not Code.NO_MEMORY:
            return super()._again(now, refused, ranked)
        self._worth_again.add(self._last)
        if self._fresh(ranked):
            return Wait(now)
        if self._attempts >= MOST_ATTEMPTS or not self._budget.take():
            return self._finish(refused)
        self._again_at = now + ASK_AGAIN_S * 2.0 ** (self._attempts - 2)
        return self._no_place(now)

    def _no_place(self, now: float) -> Action:
        if self._patience_until is None:
            self._patience_until = now + PATIENCE_S
        until = now + LOOK_AGAIN_S
        if until < min(self._patience_until, self._req.deadline):
            return Wait(until)
        return super()._no_place(now)
