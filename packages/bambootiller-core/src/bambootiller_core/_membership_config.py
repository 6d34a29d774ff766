"""The settings of the membership."""

from __future__ import annotations

from dataclasses import dataclass

from bambootiller_core._peerset import PeerSetSizes


@dataclass(frozen=True, slots=True)
class MembershipConfig:
    """Times are seconds; periods are numbers of probe intervals.

    ``late_periods`` is the gap between two ticks beyond which a process has lacked
    processor time: twice what its ticks, four a period or more, leave between them.

    ``suspicion_periods`` is multiplied by the decimal logarithm of the fleet's size,
    the time that a suspicion and its refutation take to spread. ``retry_dead`` is the
    time between probes of dead members, ``forget_dead`` how long a death is remembered.
    """

    probe_interval: float = 1.0
    probe_timeout: float = 0.5
    helpers: int = 3
    suspicion_periods: float = 2.0
    late_periods: float = 0.5
    pause_periods: float = 2.0
    silence_periods: float = 3.0
    retry_dead: float = 3.0
    forget_dead: float = 600.0
    sizes: PeerSetSizes = PeerSetSizes()
