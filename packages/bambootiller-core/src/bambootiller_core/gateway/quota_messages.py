"""The messages between entries and the allocator of quotas.

"Customer" here means any limit that is divided among entries, including those that
backend servers report (:mod:`reported_limits`).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

#: How long a share holds after the entry's request. Seconds; longer than outages of the
#: key-value service last, as no new allocator can take over during one.
SHARE_TTL_S = 30.0


@dataclass(frozen=True, slots=True)
class CustomerAsk:
    """The state of one customer at one entry, part of a request.

    ``demand_per_s`` is the recent cost of the customer's calls a second, refused calls
    included. ``wanted`` is what waiting calls lack, and ``least`` what the first of
    them lacks. ``share`` is the fraction of the customer's limit that the entry holds,
    and ``call_cost`` the average cost of a call.
    """

    demand_per_s: float = 0.0
    wanted: float = 0.0
    least: float = 0.0
    share: float = 0.0
    call_cost: float = 0.0


@dataclass(frozen=True, slots=True)
class QuotaAsk:
    """A request of an entry to the allocator.

    ``incarnation`` distinguishes the entry's process from earlier ones of the same
    instance. ``number`` increases with each request of a process. ``heard`` is the
    number of the last answer that the entry has applied, from the allocator of
    ``term``. ``customers`` includes every customer of which the entry holds a share.
    """

    entry: str
    incarnation: str
    number: int
    term: int = 0
    heard: int = 0
    customers: Mapping[str, CustomerAsk] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CustomerGrant:
    """What the allocator grants of one customer's limit.

    ``share`` replaces the share that the entry held. ``advance`` may be spent at once.
    ``room_in_s`` is in how many seconds the rest of what was wanted may be available, 0
    if all of it was granted.
    """

    share: float = 0.0
    advance: float = 0.0
    room_in_s: float = 0.0


@dataclass(frozen=True, slots=True)
class QuotaAnswer:
    """The answer to the request ``number``, from the allocator of ``term``."""

    term: int
    number: int
    customers: Mapping[str, CustomerGrant] = field(default_factory=dict)
