"""Validated models of a template, as operators write it and as it is stored.

The models check each field by itself and what only shows when fields are seen together.
They build the core's data classes; nothing behind the border sees a pydantic object.
"""

import datetime
import re
import zoneinfo
from typing import Annotated, Any, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    model_validator,
)
from pydantic_core import PydanticCustomError

from bambootiller._parsers import Size
from bambootiller_core.template import (
    CallerPolicy,
    ModelPolicy,
    PriorityWindow,
    ServicePolicy,
    Template,
    Weights,
    WhenStoreDown,
)

MAX_BYTES = 2**50
MAX_REPLICAS = 10_000
DAY_MS = 24 * 3600 * 1000
DAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
#: Error type of problems that carry a path of their own, see :func:`problem_at`.
AT = "at"

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
_CLOCK = re.compile(r"([01]\d|2[0-3]):[0-5]\d")
_DIGEST = re.compile(r"[0-9a-f]{64}")
_SIZE = Size(0, MAX_BYTES)


def refuse(allowed: str) -> PydanticCustomError:
    """An error whose message is just what is allowed."""
    return PydanticCustomError("refused", "{allowed}", {"allowed": allowed})


def problem_at(path: str, value: object, allowed: str) -> PydanticCustomError:
    """An error about a field below the model that found it.

    Pydantic reports a model's own check at the model; operators want the field.
    """
    context = {"allowed": allowed, "path": path, "value": value}
    return PydanticCustomError(AT, "{allowed}", context)


def _name(text: str) -> str:
    if not _NAME.fullmatch(text):
        # A colon parts model and adapter in requests, a slash parts keys in the store.
        raise refuse("1 to 128 letters, digits, '.', '_' or '-', no ':' or '/'")
    return text


def _clock(text: str) -> str:
    if not _CLOCK.fullmatch(text):
        raise refuse("a time of day, HH:MM from 00:00 to 23:59")
    return text


def _digest(text: str) -> str:
    if not _DIGEST.fullmatch(text):
        raise refuse("64 lowercase hexadecimal digits (see: bambootiller key new)")
    return text


def _path(text: str) -> str:
    if not text.startswith("/") or not text.isprintable() or " " in text:
        raise refuse("the beginning of a path, from '/' on, without spaces")
    return text


def _zone(text: str) -> str:
    try:
        zoneinfo.ZoneInfo(text)
    except (ValueError, OSError, zoneinfo.ZoneInfoNotFoundError):
        raise refuse("a name from the tz database, such as America/Toronto") from None
    return text


def _size(value: object) -> object:
    if not isinstance(value, str):
        return value
    try:
        return _SIZE(value)
    except ValueError:
        raise refuse(_SIZE.allowed) from None


Name = Annotated[str, AfterValidator(_name)]
Clock = Annotated[str, AfterValidator(_clock)]
Digest = Annotated[str, AfterValidator(_digest)]
PathStart = Annotated[str, AfterValidator(_path)]
Bytes = Annotated[int, BeforeValidator(_size), Field(ge=0, le=MAX_BYTES)]
Millis = Annotated[int, Field(ge=1, le=DAY_MS)]
Priority = Annotated[int, Field(ge=0, le=9)]


class Border(BaseModel):
    """What all models share: no conversions by guess, and no unknown fields.

    A misspelt field that were ignored would leave its default in force, silently.
    """

    model_config = ConfigDict(strict=True, extra="forbid", allow_inf_nan=False)


class ModelForm(Border):
    """One model: its cap, its size, and the figures to begin with."""

    replicas: int = Field(ge=0, le=MAX_REPLICAS)
    memory_bytes: Bytes = Field(gt=0)
    adapters: frozenset[Name] = frozenset()
    adapter_bytes: Bytes = 0
    load_ms: Millis = 10_000
    max_running: int = Field(default=8, ge=1, le=4096)
    token_ms: float = Field(default=30.0, gt=0, le=60_000)

    def policy(self, name: str) -> ModelPolicy:
        """The policy that the core decides by."""
        return ModelPolicy(name=name, **_values(self))


class ServiceForm(Border):
    """One plain service, and which of its paths may not be repeated."""

    non_idempotent: tuple[PathStart, ...] = ()
    when_store_down: Literal["refuse", "wait"] = "refuse"
    max_running: int = Field(default=64, ge=1, le=65_536)

    def policy(self, name: str) -> ServicePolicy:
        """The policy that the core decides by."""
        values = _values(self)
        values["when_store_down"] = WhenStoreDown(self.when_store_down)
        return ServicePolicy(name=name, **values)


class WindowForm(Border):
    """Hours at which a caller has another priority, in the customer's time zone."""

    start: Clock
    end: Clock
    priority: Priority
    days: tuple[Literal[DAYS], ...] = DAYS

    @model_validator(mode="after")
    def _check(self) -> "WindowForm":
        if not self.days:
            raise problem_at("days", [], f"one or more of {', '.join(DAYS)}")
        if self.start == self.end:
            allowed = "another time than start; for a whole day set the base priority"
            raise problem_at("end", self.end, allowed)
        return self

    def window(self) -> PriorityWindow:
        """The window that the core decides by."""
        return PriorityWindow(
            start=datetime.time.fromisoformat(self.start),
            end=datetime.time.fromisoformat(self.end),
            priority=self.priority,
            days=frozenset(DAYS.index(day) for day in self.days),
        )


class CallerForm(Border):
    """One caller: its key, what it may call, and how it stands against others."""

    key_sha256: Digest
    models: frozenset[Name] = frozenset()
    services: frozenset[Name] = frozenset()
    priority: Priority = 5
    windows: tuple[WindowForm, ...] = Field(default=(), max_length=64)
    standing: float = Field(default=1.0, gt=0, le=1000)
    batch: bool = False

    def policy(self, name: str) -> CallerPolicy:
        """The policy that the core decides by."""
        values = _values(self)
        values["windows"] = tuple(form.window() for form in self.windows)
        return CallerPolicy(name=name, **values)


class WeightsForm(Border):
    """The cost of a second of cold start, and of one of an idle replica."""

    cold_second: float = Field(default=1.0, ge=0, le=1_000_000)
    idle_second: float = Field(default=0.02, ge=0, le=1_000_000)


class TemplateForm(Border):
    """A whole template, its parameters already put in."""

    customer: Name
    version: int = Field(default=0, ge=0)
    models: dict[Name, ModelForm] = {}
    services: dict[Name, ServiceForm] = {}
    callers: dict[Name, CallerForm] = {}
    time_zone: Annotated[str, AfterValidator(_zone)] = "UTC"
    default_timeout_ms: Millis = 30_000
    max_timeout_ms: Millis = 300_000
    weights: WeightsForm = WeightsForm()
    batch_share: float = Field(default=0.2, ge=0, le=1)

    @model_validator(mode="after")
    def _check(self) -> "TemplateForm":
        if self.default_timeout_ms > self.max_timeout_ms:
            allowed = f"at most max_timeout_ms, {self.max_timeout_ms}"
            raise problem_at("default_timeout_ms", self.default_timeout_ms, allowed)
        owners: dict[str, str] = {}
        for name, caller in self.callers.items():
            self._check_caller(name, caller)
            owner = owners.setdefault(caller.key_sha256, name)
            if owner != name:
                allowed = f"a key of its own; caller {owner!r} has this one"
                path = f"callers.{name}.key_sha256"
                raise problem_at(path, caller.key_sha256, allowed)
        return self

    def _check_caller(self, name: str, caller: CallerForm) -> None:
        for field, defined in (("models", self.models), ("services", self.services)):
            for wanted in sorted(getattr(caller, field)):
                if wanted not in defined:
                    names = ", ".join(sorted(defined)) or "none is defined"
                    allowed = f"the names under {field}: {names}"
                    raise problem_at(f"callers.{name}.{field}", wanted, allowed)

    def template(self) -> Template:
        """The template that the core decides by."""
        values = _values(self)
        for field in ("models", "services", "callers"):
            forms = getattr(self, field)
            values[field] = {name: form.policy(name) for name, form in forms.items()}
        values["weights"] = Weights(**_values(self.weights))
        return Template(**values)


def _values(form: Border) -> dict[str, Any]:
    """The model's fields by name, without turning nested models into dicts."""
    return {name: getattr(form, name) for name in type(form).model_fields}
