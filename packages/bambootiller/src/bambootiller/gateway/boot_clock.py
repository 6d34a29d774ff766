"""A monotonic clock that includes the time for which the instance was suspended."""

from __future__ import annotations

import time


def boot_now() -> float:
    """The time in seconds; only differences are meaningful.

    The event loop's clock stops while the instance is suspended. By that clock, a lease
    or a share of a quota that others consider expired would still be valid here.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
