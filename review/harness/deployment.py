"""The routes and services that the cases share: an engine service and a plain one."""

from __future__ import annotations

HOST = "annexe.example"
ENGINE_SERVICE = "redaction"
PLAIN_SERVICE = "guichet"


def model(name: str, weights_mb: float = 34300.0, load_s: float = 6.0) -> dict:
    """Return a model as on the sheet of the Ore Grade Reporting Service Annex."""
    return {
        "name": name,
        "weights-mb": weights_mb,
        "load-s": load_s,
        "warm-s": 0.39,
        "disk-s": 0.51,
        "adapters": 16,
        "adapter-mb": 40.0,
    }


def services(models: list[dict], weights_mb: float = 58000.0) -> list[dict]:
    """Return the services of a configuration."""
    return [
        {
            "name": ENGINE_SERVICE,
            "health-path": "/health",
            "max-connections": 240,
            "engine": {
                "slots": 32,
                "models": models,
                "weights-mb": weights_mb,
                "adapter-slots": 8,
                "loads-per-s": 6.5,
            },
        },
        {"name": PLAIN_SERVICE, "health-path": "/health", "max-connections": 110},
    ]


def stream_route(prefix: str, **fields: object) -> dict:
    """Return a route of streams that may be resumed."""
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "path-prefix": prefix,
        "kind": "streaming",
        "timeout-ms": 17000,
        "target-latency-ms": 300,
        "priority": 1,
        "service": ENGINE_SERVICE,
        "max-attempts": 2,
        "sticky": True,
        "resumable": True,
        "gap-aim-ms": 200,
        **fields,
    }


def plain_route(prefix: str, kind: str, **fields: object) -> dict:
    """Return a route of the plain service."""
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "path-prefix": prefix,
        "kind": kind,
        "timeout-ms": 1500,
        "target-latency-ms": 125,
        "priority": 2,
        "service": PLAIN_SERVICE,
        "max-attempts": 2 if kind == "safe" else 1,
        **fields,
    }
