"""The narrow ports through which the shells reach the platform.

Only the key-value service needs more than one call, so only it has a port of its own.
The outcomes tell apart what a caller must treat differently: ``Unavailable`` says that
the call took no effect, ``Unknown`` that it may have taken effect although no answer
came. A writer that gets ``Unknown`` must read before it concludes anything."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Record:
    """A key with its value and revisions. ``mod_revision`` 0 means that it is
    absent."""

    key: str
    value: bytes
    mod_revision: int
    create_revision: int = 0


@dataclass(frozen=True, slots=True)
class Found:
    """The answer to a read: the records, and the service's revision at that time."""

    records: tuple[Record, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Compare:
    """Holds if ``key`` was last modified at ``mod_revision`` (0: the key is absent)."""

    key: str
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """Write ``value`` under ``key``, bound to ``lease`` unless that is 0."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """Remove ``key``."""

    key: str


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect at ``revision``."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """A compare failed, nothing was written; ``records`` are the compared keys' present
    records (absent keys are missing)."""

    records: tuple[Record, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The service couldn't be reached or refused the call; it took no effect.

    ``timed_out`` is set if a call that was sent got no answer in time. A watch that
    ends otherwise may have been cut although the service is available.
    """

    detail: str
    timed_out: bool = False


@dataclass(frozen=True, slots=True)
class Unknown:
    """The call was sent, no answer came; it may have taken effect, or may yet."""

    detail: str


@dataclass(frozen=True, slots=True)
class Changed:
    """A watched key changed; ``deleted`` records carry no value."""

    record: Record
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class Granted:
    """A lease: what is bound to it is removed ``ttl_s`` seconds after it was asked
    for."""

    lease: int
    ttl_s: float


ReadOutcome = Found | Unavailable
WriteOutcome = Committed | Conflict | Unavailable | Unknown
LeaseOutcome = Granted | Unavailable


class KeyValue(Protocol):
    """The platform's key-value service, as much of it as the system uses.

    Example::

        found = await kv.get("/bambootiller/templates/forge")
        seen = Compare(key, found.records[0].mod_revision)
        match await kv.transact([seen], [Put(key, b"..")]):
            case Committed(revision): ...
            case Conflict(records): ...
            case Unavailable(): ...
            case Unknown(): ...  # read back before concluding anything
    """

    async def get(self, key: str) -> ReadOutcome:
        """Read one key; ``Found`` with no records if it is absent."""

    async def get_prefix(self, prefix: str) -> ReadOutcome:
        """Read all keys that start with ``prefix``."""

    async def transact(
        self, compares: Sequence[Compare], writes: Sequence[Put | Delete]
    ) -> WriteOutcome:
        """Carry out ``writes`` if all ``compares`` hold, all of it or nothing."""

    async def grant_lease(self, ttl_s: float) -> LeaseOutcome:
        """Begin a lease of so many seconds. One whose answer is lost binds nothing, and
        ends by itself."""

    async def keep_lease(self, lease: int) -> LeaseOutcome:
        """Have a lease begin anew; ``Unavailable`` also if it has ended."""

    def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncIterator[tuple[Changed, ...] | Unavailable]:
        """Yield changes under ``prefix`` from a revision on, lastly ``Unavailable``. An
        empty batch shows that the service is available."""

    async def close(self) -> None:
        """Release the connections."""
