"""Refusals in the form that callers get, as problem details (RFC 9457)."""

from __future__ import annotations

import json

from bambootiller_core.outcomes import Code, Refused

CONTENT_TYPE = "application/problem+json"

_TITLES: dict[Code, str] = {
    Code.BAD_REQUEST: "The request is malformed",
    Code.BODY_TOO_LARGE: "The body is too large",
    Code.UNAUTHENTICATED: "The caller is unknown",
    Code.UNKNOWN_MODEL: "The model is unknown",
    Code.UNKNOWN_ADAPTER: "The adapter is unknown",
    Code.UNKNOWN_SERVICE: "The service is unknown",
    Code.NOT_ALLOWED: "The caller may not call this",
    Code.KEY_REQUIRED: "An idempotency key is required",
    Code.TOO_LATE: "The deadline can't be met",
    Code.DEADLINE_PASSED: "The deadline has passed",
    Code.OVERLOADED: "There is too much work under way",
    Code.LEAVING: "The instance is leaving",
    Code.NO_REPLICA: "No replica can be reached",
    Code.NO_MEMORY: "There is no accelerator memory free",
    Code.LOAD_FAILED: "The model couldn't be loaded",
    Code.NOT_HOLDER: "The backend server doesn't hold the model",
    Code.BACKEND_FAILED: "The backend server failed",
    Code.CLAIM_UNAVAILABLE: "The call couldn't be claimed",
    Code.ALREADY_CLAIMED: "A call with this idempotency key came before",
    Code.NOT_READY: "The instance isn't ready",
    Code.CALLER_GONE: "The caller has gone",
    Code.UNREACHABLE: "The backend server can't be reached",
}


def problem_json(refused: Refused, request_id: str, status: int = 0) -> bytes:
    """The problem as JSON; ``status`` replaces the code's own if it isn't 0."""
    problem = {
        "type": "about:blank",
        "title": _TITLES[refused.code],
        "status": status or refused.status,
        "code": refused.code.value,
        "detail": refused.detail,
        "executed": refused.executed.value,
        "retry_after_ms": refused.retry_after_ms,
        "request_id": request_id,
    }
    return json.dumps(problem).encode()


def retry_after_seconds(refused: Refused) -> int:
    """The ``Retry-After`` header: whole seconds, rounded up so that none come early."""
    return -(-refused.retry_after_ms // 1000)
