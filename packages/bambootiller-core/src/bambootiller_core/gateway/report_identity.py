"""Attributes an engine's report to an instance; the report itself doesn't name one."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from bambootiller_core.gateway.fleet import Backend, Registration
from bambootiller_core.gateway.order_messages import EngineReport


def registration_at(backends: Iterable[Backend], address: str) -> Registration | None:
    """The latest registration at an address, None if there is none."""
    listed = [
        backend.registration
        for backend in backends
        if backend.registration.address == address
    ]
    return max(listed, key=lambda item: item.revision, default=None)


def with_identity(
    report: EngineReport, listed: Registration | None
) -> EngineReport | None:
    """The report with the instance that it comes from, None if that isn't known.

    The instance is needed because every order names the instance that it is meant for.
    Otherwise a delayed order could reach another engine at the same address.

    The start time is taken from the report if it has one, because the registry may show
    the previous start for up to a heartbeat. If the registry shows a later start, the
    report is outdated and dropped.
    """
    if listed is None:
        return None
    started_ms = report.started_ms
    if started_ms is None:
        started_ms = listed.started_ms
    found = replace(report, instance=listed.instance, started_ms=started_ms)
    return None if found.incarnation.precedes(listed.incarnation) else found
