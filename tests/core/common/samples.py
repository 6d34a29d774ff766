"""Templates, tables and requests for the tests of the backend's decisions, and a driver
that plays the shell with an engine that answers at once, unless ``hold`` is set."""

import random

from bambootiller_core import slots
from bambootiller_core.backend import BackendCore
from bambootiller_core.backend_effects import (
    BackendConfig,
    OrderRejected,
    OrderTaken,
    SendOrder,
)
from bambootiller_core.decisions import DecisionLog
from bambootiller_core.template import ModelPolicy, ServicePolicy, Template
from bambootiller_core.types import ModelKey, ModelTarget, Request, ServiceTarget
from tests.core.common.engine import FakeEngine

ME = "i-1"
GIB = 2**30
SETTLE_S = 10.0


def key(model: str) -> ModelKey:
    """A model of the one customer."""
    return ModelKey("forge", model)


def template(version: int = 1, max_running: int = 2, **models: int) -> Template:
    """A template of models by their memory in GiB, each with adapters x and y."""
    return Template(
        "forge",
        version,
        models={
            name: ModelPolicy(
                name,
                2,
                gib * GIB,
                adapters=frozenset({"x", "y"}),
                adapter_bytes=GIB,
                load_ms=4000,
                max_running=max_running,
            )
            for name, gib in models.items()
        },
        services={"push": ServicePolicy("push", ("/submit",), max_running=1)},
    )


def table(model: str, holder: str = ME, cap: int = 1) -> slots.SlotTable:
    """A slot table whose slot 0 is held by ``holder``, if there is one."""
    placements = {0: holder} if holder else {}
    return slots.create(key(model), cap, 1, placements, f"w-{model}")


def request(name: str, model: str = "a", deadline: float = 60.0, **fields) -> Request:
    """A call of a model, or of the service if ``model`` is empty."""
    adapter = fields.pop("adapter", "")
    target = ModelTarget(model, adapter)
    if not model:
        target = ServiceTarget("push", "POST", "/submit")
    return Request(name, "forge", "pupil", target, deadline, **fields)


class Bench:
    """A core with an engine; ``act`` carries effects out and keeps the others."""

    def __init__(
        self,
        total_gib: int = 10,
        settled: bool = True,
        engine: FakeEngine | None = None,
        confirm: bool = False,
        **models: int,
    ):
        models = models or {"a": 4, "b": 4, "c": 4}
        self.now = 0.0
        self.decisions = DecisionLog()
        cfg = BackendConfig(settle_s=SETTLE_S, confirm_slots=confirm)
        self.core = BackendCore(ME, cfg, self.decisions, random.Random(1))
        self.engine = engine or FakeEngine(total_gib * GIB)
        self.seen = []
        self.hold = False
        self.held: list[SendOrder] = []
        self.act(self.core.on_template(self.now, template(**models)))
        for model in models:
            self.act(self.core.on_slot_table(self.now, table(model)))
        self.read()
        if settled:
            self.wait(SETTLE_S)
            self.read()

    def act(self, effects):
        """Carry out orders at once, note everything, and return the effects."""
        self.seen += effects
        for effect in effects:
            if isinstance(effect, SendOrder) and self.hold:
                self.held.append(effect)
            elif isinstance(effect, SendOrder):
                reason = self.engine.take(effect)
                self.answer(effect, OrderRejected(reason) if reason else OrderTaken())
        return effects

    def answer(self, order, outcome):
        """The core learns what became of an order."""
        return self.act(self.core.on_order_outcome(self.now, order.order_id, outcome))

    def read(self):
        """Let the core read the engine's state."""
        return self.act(self.core.on_engine_state(self.now, self.engine.state()))

    def carry_out(self):
        """The engine finishes all orders, and the core reads it, until all is quiet."""
        for _ in range(10):
            self.engine.finish_all()
            if not self.read():
                break

    def wait(self, seconds: float):
        """Let time pass, with a tick at its end."""
        self.now += seconds
        return self.act(self.core.tick(self.now))

    def arrive(self, name: str, model: str = "a", **fields):
        """A request arrives; its deadline is ``left`` seconds away, 60 by default."""
        deadline = self.now + fields.pop("left", 60.0)
        req = request(name, model, deadline, **fields)
        return self.act(self.core.arrive(self.now, req))

    def load(self, model: str):
        """Have a model loaded by one request that comes and goes."""
        self.arrive(f"load-{model}", model)
        self.now += 2.0
        self.carry_out()
        self.now += 1.0
        self.act(self.core.finished(self.now, f"load-{model}", 1, True))

    def of_type(self, kind):
        """The effects of one type that were seen, in order."""
        return [effect for effect in self.seen if isinstance(effect, kind)]

    def orders(self) -> list[tuple[str, str]]:
        """The kind and model of all orders sent."""
        return [(o.kind.value, o.key.model) for o in self.of_type(SendOrder)]

    def tell(self, table: slots.SlotTable):
        """The core learns of a slot table."""
        return self.act(self.core.on_slot_table(self.now, table))

    def refusals(self) -> dict[str, str]:
        """The code by request of all refusals seen."""
        found = [e for e in self.seen if hasattr(e, "refused")]
        return {effect.request_id: effect.refused.code.value for effect in found}
