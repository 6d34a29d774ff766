"""Orders that an engine may still carry out though it has started anew since.

An order without an answer may arrive seconds later. It names the instance and the
number of orders accepted before it. An engine that has started again under its name
takes it, at the moment at which its own count, begun anew, is that number. The order
was decided on what the start before held: on top of what the new start holds, its model
may be more than fits, and the engine crashes.

Copies that were overtaken by an answered one count as well: to the new start they are
as good as the first.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from bambootiller_core.gateway.order_messages import EngineOrder, OrderKind

#: An order that hasn't arrived by then won't. The platform says that it may take
#: seconds; this is as long as the product's own agents wait after a restart by default.
#: Meanwhile an order that leaves no room for a late one is put off. Seconds.
MAX_ORDER_DELAY_S = 10.0


@dataclass(frozen=True, slots=True)
class _Unanswered:
    order: EngineOrder
    sent_at: float


class LateOrders:
    """The orders to starts before the present one that may still arrive.

    Example::

        late.unanswered(now, order)
        late.engine_restarted()
        for order in late.loads_after(now, accepted=4): ...
    """

    def __init__(self) -> None:
        self._to_current_start: list[_Unanswered] = []
        self._to_earlier_starts: list[_Unanswered] = []

    def unanswered(self, now: float, order: EngineOrder) -> None:
        """An order to the present start got no answer."""
        self._to_current_start = [
            item
            for item in self._to_current_start
            if now - item.sent_at < MAX_ORDER_DELAY_S and item.order != order
        ]
        self._to_current_start.append(_Unanswered(order, now))

    def engine_restarted(self) -> None:
        """What was on its way to the present start may reach the next one."""
        self._to_earlier_starts += self._to_current_start
        self._to_current_start = []

    def loads_after(self, now: float, accepted: int) -> Iterator[EngineOrder]:
        """The late loads that can take effect once the engine has accepted so many
        orders: one that names that number, and those that may follow it."""
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
        """The late orders that a start which nobody orders yet may carry out one after
        the other, until it has accepted ``number`` of them; none if one is missing.

        They were meant for different starts, so none of those held them all. If the
        agent that knows of them ends together with the engine, nobody shuts them out.
        """
        orders = {
            item.order
            for item in (*self._to_earlier_starts, *self._to_current_start)
            if now - item.sent_at < MAX_ORDER_DELAY_S and item.order.expected < number
        }
        if {order.expected for order in orders} != set(range(number)):
            return []
        return list(orders)
