"""Bounds how many connections of callers an instance keeps open.

Each takes a descriptor, and without descriptors an instance reaches neither backend
servers nor the store. If there are too many, a new connection takes the place of the
one that has been idle for longest, or else of the one whose request has been arriving
for longest. Connections whose request is being served stay open.

Example::

    connections = CallerConnections(2900)
    connection = connections.open(close)
    if connection is None: ...  # close it
    connection.receiving()      # a request begins to arrive
    connection.served()         # it is complete
    connection.idle()           # it has its answer
    connection.closed()
"""

from __future__ import annotations

from collections.abc import Callable


class CallerConnection:
    """One open connection; ``evict`` closes it."""

    __slots__ = ("evict", "_connections")

    def __init__(
        self, connections: CallerConnections, evict: Callable[[], None]
    ) -> None:
        self._connections = connections
        self.evict = evict

    def idle(self) -> None:
        """No request is arriving, and all have their answers."""
        self._connections.move(self, self._connections.idle)

    def receiving(self) -> None:
        """A request begins to arrive."""
        self._connections.move(self, self._connections.receiving)

    def served(self) -> None:
        """A complete request is being served."""
        self._connections.move(self, self._connections.serving)

    def closed(self) -> None:
        """The connection is closed; it may be called again."""
        self._connections.move(self, None)


class CallerConnections:
    """The connections of one instance, at most ``capacity`` of them.

    ``idle``, ``receiving`` and ``serving`` hold them in the order in which they got
    into that state.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        #: How many were closed in favour of others, or at once, since the start.
        self.evicted = 0
        self.idle: dict[CallerConnection, None] = {}
        self.receiving: dict[CallerConnection, None] = {}
        self.serving: dict[CallerConnection, None] = {}

    @property
    def count(self) -> int:
        """How many there are."""
        return len(self.idle) + len(self.receiving) + len(self.serving)

    def open(self, evict: Callable[[], None]) -> CallerConnection | None:
        """Count a new connection; None if there are too many, and each of them is in
        use for a request that is being served."""
        if self.count >= self.capacity:
            victim = next(iter(self.idle), None) or next(iter(self.receiving), None)
            self.evicted += 1
            if victim is None:
                return None
            victim.closed()
            victim.evict()
        connection = CallerConnection(self, evict)
        self.idle[connection] = None
        return connection

    def move(
        self,
        connection: CallerConnection,
        state: dict[CallerConnection, None] | None,
    ) -> None:
        """Move a counted connection to another state, or out of all of them."""
        if state is not None and connection in state:
            return
        for other in (self.idle, self.receiving, self.serving):
            if connection in other:
                del other[connection]
                if state is not None:
                    state[connection] = None
                return
