"""What a test can order of an engine under ``/control``, and what it can count."""

import collections
from dataclasses import dataclass, field

from pydantic import BaseModel, ConfigDict, Field

from bambootiller_standins._faults import FaultMode
from bambootiller_standins.engine._config import Tier


class EngineOrder(BaseModel):
    """The body of ``POST /control``; what is left out keeps its value.

    ``crash`` ends the process (or, in process, drops all state under a new
    incarnation).  ``freeze_ms`` stops tokens, loads and answers for that long.
    ``cut_streams`` closes the next so many answers after ``cut_after`` tokens.
    """

    model_config = ConfigDict(extra="forbid")

    mode: FaultMode | None = None
    delay_ms: int = Field(default=0, ge=0)
    count: int = Field(default=0, ge=0)
    crash: bool = False
    freeze_ms: float = Field(default=0, ge=0)
    fail_loads: int | None = Field(default=None, ge=0)
    load_factor: float | None = Field(default=None, ge=0)
    order_delay_ms: float | None = Field(default=None, ge=0)
    lose_orders: int | None = Field(default=None, ge=0)
    cut_streams: int | None = Field(default=None, ge=0)
    cut_after: int = Field(default=1, ge=0)
    fencing: bool | None = None
    report_lag_ms: float | None = Field(default=None, ge=0)
    token_ms: float | None = Field(default=None, ge=0)
    tiers: dict[str, Tier] = {}
    reset: bool = False


@dataclass(slots=True)
class RequestCounts:
    """Requests since the start or the last reset; *runs* counts by request id."""

    requests: int = 0
    refused: int = 0
    finished: int = 0
    cancelled: int = 0
    cut: int = 0
    tokens: int = 0
    runs: collections.Counter = field(default_factory=collections.Counter)


@dataclass(slots=True)
class StreamCuts:
    """How many of the next answers are closed early, and after how many tokens."""

    left: int = 0
    after: int = 1

    def due(self, given: int) -> bool:
        """Tells whether an answer of which *given* tokens are out is closed now."""
        if self.left <= 0 or given < self.after:
            return False
        self.left -= 1
        return True
