"""Log lines about customers, their keys and their quotas."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from bambootiller_core.gateway.log_lines._base import LogLine


@dataclass(frozen=True, slots=True)
class CustomerKeysChanged(LogLine):
    """A configuration has come into force that changes a customer's keys; ``keys_left``
    0 means that its calls are no longer served."""

    event: ClassVar[str] = "customer_keys_changed"
    failure: ClassVar[bool] = False

    customer: str
    added: int
    removed: int
    keys_left: int
    config_version: int
    revision: int


@dataclass(frozen=True, slots=True)
class CustomerQuota:
    """The quota of one customer."""

    customer: str
    rate_per_s: float
    burst: float
    unit: str


@dataclass(frozen=True, slots=True)
class QuotasInForce(LogLine):
    """A configuration has come into force that changes quotas. ``left_out`` is the
    number of customers for which the line has no room."""

    event: ClassVar[str] = "quotas_in_force"
    failure: ClassVar[bool] = False

    config_version: int
    quotas: tuple[CustomerQuota, ...]
    left_out: int = 0


@dataclass(frozen=True, slots=True)
class QuotaAllocator(LogLine):
    """This process has become the quota allocator (``begins``), or is no longer, and
    why. ``members`` is the number of entries that the allocator's record listed."""

    event: ClassVar[str] = "quota_allocator"
    failure: ClassVar[bool] = False

    begins: bool
    term: int
    reason: str
    members: int = 0
