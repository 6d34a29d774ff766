"""The limits of the machine that an instance runs on, and what of them callers may use.

Example::

    limits = MachineLimits(memory_bytes=200_000_000)
    CallerMemory(limits.caller_memory_bytes, clock)
"""

from __future__ import annotations

from dataclasses import dataclass

#: What an instance takes without callers: the program, the state of a large fleet, and
#: what the allocator keeps of freed memory. Bytes.
PROCESS_BYTES = 110_000_000
#: Callers may use at least this fraction of the memory.
MIN_CALLER_FRACTION = 0.25
DEFAULT_MEMORY_BYTES = 512_000_000
DEFAULT_DESCRIPTORS = 4096
#: Descriptors for files and whatever else isn't a connection.
FILE_DESCRIPTORS = 200
#: Callers may use this fraction of the others; the rest is for connections to backend
#: servers, to the store and to other processes, and for callers that are being refused.
CALLER_FRACTION = 0.6


@dataclass(frozen=True, slots=True)
class MachineLimits:
    """``memory_bytes`` is the memory that the process may use, ``descriptors`` how many
    it may have open."""

    memory_bytes: float = DEFAULT_MEMORY_BYTES
    descriptors: int = DEFAULT_DESCRIPTORS

    @property
    def caller_memory_bytes(self) -> float:
        """How much memory callers may make the process hold."""
        return max(
            self.memory_bytes - PROCESS_BYTES, self.memory_bytes * MIN_CALLER_FRACTION
        )

    @property
    def caller_connections(self) -> int:
        """How many connections callers may have."""
        return max(1, int((self.descriptors - FILE_DESCRIPTORS) * CALLER_FRACTION))
