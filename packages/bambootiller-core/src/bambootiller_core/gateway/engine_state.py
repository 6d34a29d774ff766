"""The state of an engine, as its agent reports it to entries."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from bambootiller_core.gateway.incarnation import Incarnation


@dataclass(frozen=True, slots=True)
class Loading:
    """A load under way. ``left_s`` is the estimated time until it ends, in seconds;
    ``from_store`` tells whether the load uses the weight store."""

    model: str
    left_s: float
    from_store: bool


@dataclass(frozen=True, slots=True)
class EngineState:
    """The state of one engine.

    ``holdings`` maps each resident model to its resident adapters. ``in_memory`` and
    ``on_disk`` are the models whose weights are cached at the engine, so that they load
    faster than from the weight store. ``in_use`` counts, for each model, the calls that
    entries have under way there; the key MODEL/ADAPTER counts those of an adapter.
    ``keep_values`` is how much it matters to all entries together that a resident model
    stays. If ``silent``, the engine doesn't answer its agent, and the other fields are
    from its last answer. ``declined`` is the model whose load from the weight store an
    entry requests and the agent can't start now, empty if there is none.
    """

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
    declined: str = ""

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation of the engine that this state describes."""
        return Incarnation(self.instance, self.started_ms)
