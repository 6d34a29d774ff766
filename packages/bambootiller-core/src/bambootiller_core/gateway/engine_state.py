"""What an agent tells entries of the engine beside it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from bambootiller_core.gateway.incarnation import Incarnation


@dataclass(frozen=True, slots=True)
class Loading:
    """A model on its way in; ``left_s`` is the estimate of the time still needed."""

    model: str
    left_s: float
    from_store: bool


@dataclass(frozen=True, slots=True)
class EngineState:
    """What an agent says of the engine beside it.

    ``holdings`` maps each held model to its adapters. ``in_memory`` and ``on_disk`` are
    copies of weights from which a load is faster. ``in_use`` counts, for each model,
    the calls that entries have under way there; ``keep_values`` how much it matters to
    all entries together that each held model stays. In ``in_use``, MODEL/ADAPTER counts
    those of an adapter. ``silent``: the engine doesn't answer its agent, and the rest
    is what it said last."""

    instance: str
    holdings: Mapping[str, frozenset[str]]
    loading: Loading | None = None
    busy: bool = False
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    running: int = 0
    queued: int = 0
    memory_mb_used: float = 0.0
    orderable: bool = True
    keep_values: Mapping[str, float] = field(default_factory=dict)
    in_use: Mapping[str, int] = field(default_factory=dict)
    silent: bool = False
    started_ms: int | None = None

    @property
    def incarnation(self) -> Incarnation:
        """The start of the engine that this is said of."""
        return Incarnation(self.instance, self.started_ms)
