"""Small configurations, backend servers and calls for tests of the gateway."""

from bambootiller.gateway.allocator_client import AllocatorClient
from bambootiller_core.gateway.calls import Call, ModelRequest
from bambootiller_core.gateway.config import (
    CallKind,
    CallLimits,
    EngineSpec,
    GatewayConfig,
    ModelSpec,
    Route,
    ServiceSpec,
    ServiceWeight,
)
from bambootiller_core.gateway.engine_state import EngineState
from bambootiller_core.gateway.fleet import Backend, Registration
from bambootiller_core.gateway.log_lines import Refused

HOST = "classes.example"


def route(kind=CallKind.IDEMPOTENT, prefix="/a/", service="plain", **fields):
    service_weights = fields.pop("service_weights", (ServiceWeight(service, 1.0),))
    return Route(prefix, HOST, prefix, kind, service_weights, **fields)


def model(name="tutor", size_mb=40.0, **fields):
    times = {"load_s": 6.0, "disk_s": 0.8, "memory_s": 0.4}
    return ModelSpec(name, size_mb, **{**times, **fields})


def engine(*models, memory_mb=100.0, adapter_slots=2, batch=8):
    specs = models or (model(),)
    by_name = {spec.name: spec for spec in specs}
    return EngineSpec(memory_mb, adapter_slots, batch, 3.5, by_name)


def config(routes=(), services=(), version=1, revision=1, **limits):
    return GatewayConfig.build(
        version, revision, tuple(routes), tuple(services), CallLimits(**limits)
    )


def allocator_client(clock=lambda: 0.0):
    """Returns the client of an entry that has no stream to an allocator."""
    return AllocatorClient("e1", lambda peer: True, lambda: False, clock)


def plain_service(name="plain", **fields):
    return ServiceSpec(name, **fields)


def registration(instance="b1", service="plain", address="127.0.0.1:1", **fields):
    fields = {"zone": "z1", "slots": 4, "leaving": False, "revision": 1, **fields}
    return Registration(instance, service, address, **fields)


def engine_state(instance="b1", holdings=(), **fields):
    held = {name: frozenset() for name in holdings}
    held.update(fields.pop("adapters", {}))
    return EngineState(instance, held, **fields)


def backend(instance="b1", now=0.0, state=None, **fields):
    sample = Backend(registration(instance, **fields))
    if state is not None:
        sample.engine = state
        sample.last_received_at = now
    return sample


def call(
    route_=None, service="plain", now=0.0, deadline=10.0, model_request=None, **fields
):
    chosen = route_ or route()
    first_event_due = now + (chosen.event_timeout_s or deadline)
    return Call(
        "r-1",
        chosen,
        service,
        now,
        now + deadline,
        first_event_due,
        model_request,
        **fields,
    )


def model_request(model="tutor", adapter="", prefix=()):
    return ModelRequest(model, adapter, prefix=tuple(prefix))


def refused(plan=None, route="r", reason="overloaded"):
    return Refused(
        request="r-1",
        route=route,
        service="tutor",
        kind="stream",
        model=None,
        reason=reason,
        status=503,
        come_back_s=0.25,
        held_ms=120,
        detail="",
        config_version=3,
        plan=plan,
    )


def engine_backend(now, instance, holdings=(), **fields):
    """Returns an engine whose agent has just reported; its models take 40 MB each."""
    fields.setdefault("memory_mb_used", 40.0 * len(holdings))
    state = engine_state(instance, holdings, **fields)
    return backend(instance, now, state, service="llm")
