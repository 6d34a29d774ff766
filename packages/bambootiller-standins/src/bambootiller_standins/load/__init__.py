"""The load tool: open-loop arrivals, every answer checked, percentiles of the times."""

from bambootiller_standins.load._outcome import Outcome, Verdict
from bambootiller_standins.load._plan import (
    ANONYMOUS,
    Caller,
    LoadPlan,
    PlannedRequest,
    planned_requests,
)
from bambootiller_standins.load._report import LoadReport
from bambootiller_standins.load._run import run_load

__all__ = [
    "ANONYMOUS",
    "Caller",
    "LoadPlan",
    "LoadReport",
    "Outcome",
    "PlannedRequest",
    "Verdict",
    "planned_requests",
    "run_load",
]
