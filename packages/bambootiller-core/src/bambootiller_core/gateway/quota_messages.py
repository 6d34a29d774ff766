"""What entries ask of the allocator of quotas, and what it answers.

A customer stands for each limit that is shared out: backend servers name limits too
(:mod:`reported_limits`).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

#: A share holds for so long after the entry asked. Seconds; longer than the key-value
#: service is away, as without it no allocator can follow one that is gone.
SHARE_TTL_S = 30.0


@dataclass(frozen=True, slots=True)
class CustomerAsk:
    """One customer at one entry.

    ``demand_per_s`` is what its calls cost lately, refused ones included; ``wanted``
    what waiting calls lack, ``least`` what the first of them does; ``share`` the part
    of the customer's limit that the entry holds, ``call_cost`` what one of its calls
    costs on average.
    """

    demand_per_s: float = 0.0
    wanted: float = 0.0
    least: float = 0.0
    share: float = 0.0
    call_cost: float = 0.0


@dataclass(frozen=True, slots=True)
class QuotaAsk:
    """An entry asks. ``incarnation`` tells its process from earlier ones of the
    instance, ``number`` rises with each ask of a process, and ``heard`` is the number
    of the last answer of the allocator of ``term`` that it acts on. ``customers`` names
    each of which it holds a share."""

    entry: str
    incarnation: str
    number: int
    term: int = 0
    heard: int = 0
    customers: Mapping[str, CustomerAsk] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CustomerGrant:
    """``share`` replaces the one that the entry held; ``advance`` may be spent at once.
    ``room_in_s`` is when the rest of what was wanted may be there, 0 if all was
    granted."""

    share: float = 0.0
    advance: float = 0.0
    room_in_s: float = 0.0


@dataclass(frozen=True, slots=True)
class QuotaAnswer:
    """The answer to the ask ``number``; ``term`` tells allocators apart."""

    term: int
    number: int
    customers: Mapping[str, CustomerGrant] = field(default_factory=dict)
