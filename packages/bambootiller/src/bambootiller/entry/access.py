"""Who calls, what they may call, and how they rank at this hour.

A caller sees the models, adapters and services of its own customer only: what belongs
to others is unknown to it, not forbidden, so that a refusal tells nothing about them.
"""

from __future__ import annotations

import datetime
import functools
import zoneinfo
from dataclasses import dataclass
from typing import Protocol

from bambootiller.entry.border import quoted
from bambootiller_core.outcomes import Code, Executed, Refused
from bambootiller_core.template import (
    CallerPolicy,
    ServicePolicy,
    Template,
    priority_at,
)
from bambootiller_core.types import ModelTarget

_BEARER = "bearer "


class Caller(Protocol):
    """An authenticated caller; :class:`bambootiller.catalogue.CallerRef` is one."""

    template: Template
    caller: CallerPolicy


class Callers(Protocol):
    """Where callers are looked up by their key."""

    def caller_by_key(self, key: str) -> Caller | None: ...


@dataclass(frozen=True, slots=True)
class Visible:
    """A model, or a model through an adapter, that a caller may name."""

    name: str
    customer: str


def authenticate(callers: Callers, authorization: str) -> Caller | Refused:
    """Find the caller by the ``Authorization`` header's bearer key."""
    if authorization[: len(_BEARER)].lower() != _BEARER:
        return _unauthenticated("header authorization must be 'Bearer KEY'")
    found = callers.caller_by_key(authorization[len(_BEARER) :].strip())
    if found is None:
        # The key itself is not quoted: refusals end up in other people's logs.
        return _unauthenticated("the bearer key belongs to no caller of any customer")
    return found


def find_model(ref: Caller, name: str) -> ModelTarget | Refused:
    """The target that ``name`` (``model`` or ``model:adapter``) stands for."""
    models = ref.template.models
    model, adapter = name, ""
    if name not in models:
        model, _, adapter = name.partition(":")
    policy = models.get(model)
    if policy is None:
        return _no(Code.UNKNOWN_MODEL, f"model {quoted(model)} is unknown")
    if ref.caller.models and model not in ref.caller.models:
        return _no(Code.NOT_ALLOWED, f"this caller may not call model {quoted(model)}")
    if adapter and adapter not in policy.adapters:
        detail = f"model {quoted(model)} has no adapter {quoted(adapter)}"
        return _no(Code.UNKNOWN_ADAPTER, detail)
    return ModelTarget(model, adapter)


def find_service(ref: Caller, name: str) -> ServicePolicy | Refused:
    """The service that ``name`` stands for."""
    policy = ref.template.services.get(name)
    if policy is None:
        return _no(Code.UNKNOWN_SERVICE, f"service {quoted(name)} is unknown")
    if ref.caller.services and name not in ref.caller.services:
        detail = f"this caller may not call service {quoted(name)}"
        return _no(Code.NOT_ALLOWED, detail)
    return policy


def visible_models(ref: Caller) -> list[Visible]:
    """All names under which the caller may call a model, sorted."""
    found = []
    customer = ref.template.customer
    for name in sorted(ref.template.models):
        if ref.caller.models and name not in ref.caller.models:
            continue
        found.append(Visible(name, customer))
        for adapter in sorted(ref.template.models[name].adapters):
            found.append(Visible(f"{name}:{adapter}", customer))
    return found


def priority_of(ref: Caller, utc: datetime.datetime) -> int:
    """The caller's priority at this time, by the clock on the customer's wall."""
    if not ref.caller.windows:
        return ref.caller.priority
    return priority_at(ref.caller, utc.astimezone(_zone(ref.template.time_zone)))


@functools.lru_cache(maxsize=256)
def _zone(name: str) -> zoneinfo.ZoneInfo:
    return zoneinfo.ZoneInfo(name)


def _no(code: Code, detail: str) -> Refused:
    return Refused(code, Executed.NO, detail, retry_after_ms=0)


def _unauthenticated(detail: str) -> Refused:
    return _no(Code.UNAUTHENTICATED, detail)
