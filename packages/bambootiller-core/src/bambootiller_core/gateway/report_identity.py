"""Whose report it is: an engine's own report doesn't name it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from bambootiller_core.gateway.fleet import Backend, Registration
from bambootiller_core.gateway.order_messages import EngineReport


def registration_at(backends: Iterable[Backend], address: str) -> Registration | None:
    """Who is at an address by the registry: the latest to be listed."""
    listed = [
        backend.registration
        for backend in backends
        if backend.registration.address == address
    ]
    return max(listed, key=lambda item: item.revision, default=None)


def with_identity(
    report: EngineReport, listed: Registration | None
) -> EngineReport | None:
    """The report with the name of who gives it, None if that isn't known.

    An order always names the instance that it is meant for. Without the name, one that
    was held up on its way could reach another engine at the same address.

    The start is the report's own word: the registry shows the start before for up to a
    heartbeat. If it shows a later one, the report was too long on its way.
    """
    if listed is None:
        return None
    started_ms = report.started_ms
    if started_ms is None:
        started_ms = listed.started_ms
    found = replace(report, instance=listed.instance, started_ms=started_ms)
    return None if found.incarnation.precedes(listed.incarnation) else found
