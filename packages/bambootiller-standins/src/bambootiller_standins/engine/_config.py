"""The settings of an engine stand-in, as a validated model that a JSON file or flags
fill.
"""

import enum

from pydantic import BaseModel, ConfigDict, Field

GIB = 1024**3


class Tier(enum.StrEnum):
    """Where a checkpoint is cached beside the engine."""

    MEMORY = "memory"
    DISK = "disk"
    REMOTE = "remote"


class LoadTimes(BaseModel):
    """How long the steps of a load take, in milliseconds.

    ``remote`` is the transfer from the weight store at full speed; the load from disk
    follows it.
    """

    model_config = ConfigDict(extra="forbid")

    memory: float = Field(default=50, ge=0)
    disk: float = Field(default=200, ge=0)
    remote: float = Field(default=500, ge=0)


class ModelConfig(BaseModel):
    """One model that the engine can load; an adapter that isn't listed takes what its
    order says.
    """

    model_config = ConfigDict(extra="forbid")

    memory_bytes: int | None = Field(default=None, gt=0)
    tier: Tier = Tier.DISK
    load_ms: LoadTimes | None = None
    adapters: dict[str, int] = {}


class EngineConfig(BaseModel):
    """Everything that can be set of an engine.

    With no *models*, every model is known and takes the memory that its order says.
    With *refuse_no_memory* the engine answers 507 to what would not fit; without it, it
    obeys and records the overcommitment, so that a test can see a fault of the system
    that the engine would otherwise hide.
    """

    model_config = ConfigDict(extra="forbid")

    memory_total: int = Field(default=80 * GIB, gt=0)
    models: dict[str, ModelConfig] = {}
    load_ms: LoadTimes = LoadTimes()
    unload_ms: float = Field(default=20, ge=0)
    adapter_load_ms: float = Field(default=20, ge=0)
    adapter_bytes: int = Field(default=GIB // 8, ge=0)
    host_memory_models: int = Field(default=2, ge=0)
    token_ms: float = Field(default=2, ge=0)
    token_ms_per_running: float = Field(default=0.1, ge=0)
    prefill_ms: float = Field(default=5, ge=0)
    cached_prefill_ms: float = Field(default=1, ge=0)
    max_batch: int = Field(default=8, gt=0)
    kv_bytes_per_request: int = Field(default=0, ge=0)
    fencing: bool = False
    refuse_no_memory: bool = False
    report_every_ms: float = Field(default=100, gt=0)
    report_lag_ms: float = Field(default=0, ge=0)
    prefix_slots: int = Field(default=256, gt=0)
    event_lag_ms: float = Field(default=200, ge=0)
    event_gap_every: int = Field(default=0, ge=0)
    order_delay_ms: float = Field(default=0, ge=0)
    weight_store: str | None = None
    journal: str | None = None

    def knows(self, model: str) -> bool:
        """Tells whether the engine can load a model of this name."""
        return not self.models or model in self.models

    def model(self, name: str) -> ModelConfig:
        """Returns the settings of a model."""
        return self.models.get(name, ModelConfig())

    def load_times(self, name: str) -> LoadTimes:
        """Returns how long the loads of a model take."""
        return self.model(name).load_ms or self.load_ms
