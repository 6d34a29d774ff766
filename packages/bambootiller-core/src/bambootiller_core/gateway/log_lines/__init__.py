"""What the gateway's processes write to their logs: one type for each kind of line.

Each line says what was decided, or what is believed from now on, what decided it, and
how old or of which version that was. Metrics count the same lines, so both tell the
same story. docs/OPERATIONS.md explains the events and their fields under these names.

Example::

    events.emit(ConfigInForce(config_version=7, revision=91, routes=12, source="store"))
"""

from bambootiller_core.gateway.log_lines._base import (
    LogLine,
)
from bambootiller_core.gateway.log_lines._customers import (
    CustomerKeysChanged,
    CustomerQuota,
    QuotaAllocator,
    QuotasInForce,
)
from bambootiller_core.gateway.log_lines._orders import (
    CopiesChanged,
    FencingToken,
    LoadEnded,
    Order,
    StoreLoadAsked,
    StoreLoadNotBegun,
    StoreTurn,
    WeightStoreIdle,
)
from bambootiller_core.gateway.log_lines._process import (
    CutAtStop,
    LinesLeftOut,
    Reloaded,
    ReloadRejected,
    Started,
    Stopped,
    Stopping,
)
from bambootiller_core.gateway.log_lines._requests import (
    Answered,
    AnswerLost,
    AttemptFailed,
    BackendSnapshot,
    CallerGone,
    CannotConnect,
    Cut,
    KeptApart,
    ModelCopy,
    Obstacles,
    PlanSnapshot,
    QuotaSnapshot,
    Refused,
    SilenceBorne,
)
from bambootiller_core.gateway.log_lines._state_changes import (
    BackendJudged,
    BackendLimit,
    BackendLimitUnreadable,
    BackendListed,
    BackendRemoved,
    BackendRestarted,
    BackendUnreadable,
    ConfigInForce,
    ConfigPassedOn,
    DependencyLost,
    DependencyRegained,
    DocumentUnreadable,
    EntryHeard,
    Overloaded,
    PeerHeard,
    PeerSilent,
    RequestCleared,
    RequestQuarantined,
    StoodStill,
)

__all__ = [
    "AnswerLost",
    "Answered",
    "AttemptFailed",
    "BackendJudged",
    "BackendLimit",
    "BackendLimitUnreadable",
    "BackendListed",
    "BackendRemoved",
    "BackendRestarted",
    "BackendUnreadable",
    "CallerGone",
    "CannotConnect",
    "BackendSnapshot",
    "ConfigInForce",
    "ConfigPassedOn",
    "CopiesChanged",
    "ModelCopy",
    "Cut",
    "CustomerKeysChanged",
    "CustomerQuota",
    "CutAtStop",
    "DependencyLost",
    "DependencyRegained",
    "DocumentUnreadable",
    "EntryHeard",
    "FencingToken",
    "KeptApart",
    "LinesLeftOut",
    "LoadEnded",
    "LogLine",
    "Obstacles",
    "Order",
    "Overloaded",
    "PeerHeard",
    "PeerSilent",
    "PlanSnapshot",
    "QuotaAllocator",
    "QuotaSnapshot",
    "QuotasInForce",
    "Refused",
    "ReloadRejected",
    "Reloaded",
    "RequestCleared",
    "RequestQuarantined",
    "SilenceBorne",
    "Started",
    "StoodStill",
    "Stopped",
    "Stopping",
    "StoreLoadAsked",
    "StoreLoadNotBegun",
    "StoreTurn",
    "WeightStoreIdle",
]
