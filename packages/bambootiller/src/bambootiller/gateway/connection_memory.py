"""What one connection of a caller makes this process hold, and for which requests.

Example::

    held = ConnectionMemory(caller_memory, evict)
    if not held.connect(): ...                         # close the connection
    if not held.receive_head(100, 3): ...              # refuse
    if not held.begin_request(100, 3): ...             # refuse
    held.serve(request)
    if not held.receive_body(request, len(data)): ...  # refuse
    held.release(request)
    held.close()
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass

from bambootiller_core.gateway.caller_memory import CallerMemory, Kind

#: What a connection takes in memory, each request on it, and each field of a head
#: beside its name and value. Bytes.
CONNECTION_BYTES = 8 * 1024
REQUEST_BYTES = 16 * 1024
FIELD_BYTES = 160
#: How often a body is in memory at a time: in parts and joined, later joined and on the
#: way to a backend server.
BODY_COPIES = 2


@dataclass(slots=True)
class _Cost:
    head: int
    body: int = 0


class ConnectionMemory:
    """Charges a connection and its requests to the account of all callers.

    What a request takes is held until its task has ended, which may be long after the
    end of its connection.
    """

    def __init__(self, memory: CallerMemory, evict: Callable[[], None]) -> None:
        self._hold = memory.hold(evict)
        self._head = 0
        self._costs: dict[Hashable, _Cost] = {}
        self._closed = False

    def connect(self) -> bool:
        """Charge the connection itself; False if there is no memory."""
        return self._hold.grow(Kind.CONNECTION, CONNECTION_BYTES)

    def begin_head(self) -> None:
        """A request begins to arrive; it may be evicted."""
        self._hold.begin()

    def receive_head(self, size: int, fields: int) -> bool:
        """Charge an unfinished head of this size in bytes; False if there is no
        memory."""
        return self._charge_head(size + FIELD_BYTES * fields)

    def begin_request(self, size: int, fields: int) -> bool:
        """Charge a request with a complete head; False if there is no memory."""
        return self._charge_head(REQUEST_BYTES + size + FIELD_BYTES * fields)

    def serve(self, request: Hashable) -> None:
        """Name the request that was charged last."""
        self._costs[request], self._head = _Cost(self._head), 0

    def receive_body(self, request: Hashable, size: int) -> bool:
        """Charge a part of a request's body; False if there is no memory."""
        cost = self._costs.get(request)
        if cost is None:
            # Its task has ended, so this part is dropped.
            return True
        if not self._hold.grow(Kind.BODY, BODY_COPIES * size):
            return False
        cost.body += BODY_COPIES * size
        return True

    def drop_head(self) -> None:
        """The unfinished head is refused; nothing of the connection can be evicted."""
        self._hold.is_evictable = False
        self._hold.shrink(Kind.HEAD, self._head)
        self._head = 0

    def received(self) -> None:
        """A request is complete. It may be sent to a backend server from now on, so it
        can't be evicted."""
        self._hold.is_evictable = False

    def idle(self) -> None:
        """All requests have their answers."""
        self._hold.is_evictable = True

    def release(self, request: Hashable) -> None:
        """A request has ended, or won't be served; it may be called again."""
        cost = self._costs.pop(request, None)
        if cost is not None:
            self._hold.shrink(Kind.HEAD, cost.head)
            self._hold.shrink(Kind.BODY, cost.body)
        if self._closed and not self._costs:
            self._hold.release()

    def close(self) -> None:
        """The connection is closed; requests may still be served."""
        self._closed = True
        self._hold.is_evictable = False
        if not self._costs:
            self._hold.release()

    def _charge_head(self, cost: int) -> bool:
        if not self._hold.grow(Kind.HEAD, cost - self._head):
            return False
        self._head = cost
        return True
