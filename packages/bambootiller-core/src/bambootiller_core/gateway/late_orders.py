"""Orders that an engine may still carry out although it has restarted since.

An order without an answer may arrive seconds later. It names the instance and the
number of orders accepted before it. An engine that has restarted under the same name
accepts it once its own count, which started again from 0, equals that number. The order
was decided on what the previous start held; in addition to what the new start holds,
its model may exceed the memory, and the engine crashes.

Copies of an order that was answered meanwhile count as well: for the new start they are
as valid as the first. So this record outlives a restart of the engine; all else that an
agent knows of its engine ends with the start.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from bambootiller_core.gateway.order_messages import EngineOrder, OrderKind

#: The longest time after which an engine of the platform carries out an order that it
#: hasn't answered. Seconds.
MAX_EXECUTION_DELAY_S = 12.0
#: An order that timed out may still be on its way to the engine. Seconds.
MAX_TRANSIT_S = 1.0
#: Until then an order that leaves no room for a late one is postponed. With a shorter
#: time the late order would overfill an engine that has restarted. Seconds.
MAX_ORDER_DELAY_S = MAX_EXECUTION_DELAY_S + MAX_TRANSIT_S


@dataclass(frozen=True, slots=True)
class _Unanswered:
    order: EngineOrder
    sent_at: float


class LateOrders:
    """The orders to earlier starts that may still arrive.

    Example::

        late_orders.unanswered(now, order)
        late_orders.engine_restarted()
        for order in late_orders.loads_after(now, accepted=4): ...
    """

    def __init__(self) -> None:
        self._to_current_start: list[_Unanswered] = []
        self._to_earlier_starts: list[_Unanswered] = []

    def unanswered(self, now: float, order: EngineOrder) -> None:
        """Record that an order to the current start got no answer."""
        self._to_current_start = [
            item
            for item in self._to_current_start
            if now - item.sent_at < MAX_ORDER_DELAY_S and item.order != order
        ]
        self._to_current_start.append(_Unanswered(order, now))

    def engine_restarted(self) -> None:
        """Record a restart: orders on their way to the previous start may reach the new
        one."""
        self._to_earlier_starts += self._to_current_start
        self._to_current_start = []

    def loads_after(self, now: float, accepted: int) -> Iterator[EngineOrder]:
        """The late loads that can take effect once the engine has accepted so many
        orders: those with this number, and those that may follow them."""
        self._to_earlier_starts = [
            item
            for item in self._to_earlier_starts
            if now - item.sent_at < MAX_ORDER_DELAY_S
        ]
        orders = {item.order for item in self._to_earlier_starts}
        if not any(order.expected == accepted for order in orders):
            return
        for order in orders:
            if order.kind is OrderKind.LOAD and order.expected >= accepted:
                yield order

    def consecutive_before(self, now: float, number: int) -> list[EngineOrder]:
        """The late orders that a start without orders from its agent may carry out one
        after the other, until it has accepted ``number`` of them; empty if one of the
        numbers is missing.

        They were sent to different starts, so no start held all of their models. If the
        agent that tracks them ends together with the engine, nothing guards against
        them.
        """
        orders = {
            item.order
            for item in (*self._to_earlier_starts, *self._to_current_start)
            if now - item.sent_at < MAX_ORDER_DELAY_S and item.order.expected < number
        }
        if {order.expected for order in orders} != set(range(number)):
            return []
        return list(orders)
