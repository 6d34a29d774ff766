"""The log lines of the gateway's processes: one type for each kind of event.

Each line contains a decision or a change of state, the inputs that caused it, and their
age or version. Metrics are counted from the same lines, so that they agree with the
log. The names of events and fields are part of the log format; docs/OPERATIONS.md
explains them.

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
    CallError,
    CannotConnect,
    Cut,
    KeptApart,
    ModelCopy,
    NotSent,
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
    PeerStreamFailed,
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
    "CallError",
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
    "NotSent",
    "Obstacles",
    "Order",
    "Overloaded",
    "PeerHeard",
    "PeerSilent",
    "PeerStreamFailed",
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
