"""A small engine in memory, with the links to it: orders late, lost, or crossing a
restart. It never refuses an order for want of memory, so that only the core's ledger
keeps the total."""

from dataclasses import dataclass, field

from bambootiller_core.backend_effects import OrderKind, SendOrder
from bambootiller_core.types import EngineState, ModelReport, OrderState, Phase, Tier


@dataclass
class Loaded:
    """A model at the engine."""

    memory_bytes: int
    fence: int
    phase: Phase = Phase.LOADING
    adapters: dict[str, int] = field(default_factory=dict)
    running: set[str] = field(default_factory=set)


class FakeEngine:
    """Takes orders one after another for each model; steps finish them."""

    def __init__(self, total: int, fencing: bool = False) -> None:
        self.total = total
        self.fencing = fencing
        self.starts = 0
        self.most_used = 0
        self.restart()

    def restart(self) -> None:
        """All is unloaded, and all orders are forgotten."""
        self.starts += 1
        self.version = 1
        self.models: dict[str, Loaded] = {}
        self.orders: dict[str, OrderState] = {}
        self.pending: list[SendOrder] = []
        self.fences: dict[str, int] = {}

    @property
    def used(self) -> int:
        """Memory in use, loads under way included."""
        return sum(
            model.memory_bytes + sum(model.adapters.values())
            for model in self.models.values()
        )

    def take(self, order: SendOrder) -> str:
        """An order arrives; "" if it is taken, else the reason of its refusal."""
        if order.order_id in self.orders:
            return ""
        fence = self.fences.get(order.model, 0)
        if self.fencing and order.fence < fence:
            return "stale_fence"
        self.fences[order.model] = max(fence, order.fence)
        self.orders[order.order_id] = OrderState.PENDING
        self.pending.append(order)
        self._begin_all()
        return ""

    def finish_one(self, index: int = 0, failing: bool = False) -> str | None:
        """The load or unload under way of some model ends; its order's id."""
        under_way = [order for order in self.pending if self._is_first(order)]
        if not under_way:
            return None
        order = under_way[index % len(under_way)]
        self.pending.remove(order)
        done = self._finish(order, failing)
        self.orders[order.order_id] = OrderState.DONE if done else OrderState.FAILED
        self._begin_all()
        return order.order_id

    def finish_all(self) -> None:
        """All orders taken are carried out."""
        while self.finish_one() is not None:
            pass

    def state(self) -> EngineState:
        """The engine's account of itself."""
        reports = tuple(
            ModelReport(
                name,
                model.phase,
                model.memory_bytes + sum(model.adapters.values()),
                model.fence,
                tuple(sorted(model.adapters)),
            )
            for name, model in sorted(self.models.items())
        )
        return EngineState(
            self.version,
            f"engine-{self.starts}",
            self.total,
            self.used,
            reports,
            {name: Tier.DISK for name in ("forge/a",)},
            dict(self.orders),
            self.fencing,
        )

    def _is_first(self, order: SendOrder) -> bool:
        same = [other for other in self.pending if other.model == order.model]
        return same[0] is order

    def _begin_all(self) -> None:
        for order in self.pending:
            if self._is_first(order):
                self._begin(order)
        self.version += 1
        self.most_used = max(self.most_used, self.used)

    def _begin(self, order: SendOrder) -> None:
        model = self.models.get(order.model)
        match order.kind:
            case OrderKind.LOAD if model is None:
                self.models[order.model] = Loaded(order.memory_bytes, order.fence)
            case OrderKind.LOAD_ADAPTER if model and model.phase is Phase.LOADED:
                model.adapters.setdefault(order.adapter, order.memory_bytes)
            case OrderKind.UNLOAD if model is not None:
                model.phase = Phase.UNLOADING
                model.running.clear()

    def _finish(self, order: SendOrder, failing: bool) -> bool:
        model = self.models.get(order.model)
        match order.kind:
            case OrderKind.LOAD if model and model.phase is Phase.LOADING and failing:
                del self.models[order.model]
                return False
            case OrderKind.LOAD if model is not None:
                model.phase = Phase.LOADED
            case OrderKind.UNLOAD:
                self.models.pop(order.model, None)
            case OrderKind.LOAD_ADAPTER:
                return model is not None and order.adapter in model.adapters
            case OrderKind.UNLOAD_ADAPTER if model is not None:
                model.adapters.pop(order.adapter, None)
        return True
