"""Refusals in the form that callers get, as problem details (RFC 9457).

The member ``error`` repeats the problem for clients of the chat-completions interface,
which look there for the message, the type and the code, and show nothing without it.
"""

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


#: What clients of the chat-completions interface call errors of each status.
_ERROR_TYPES: dict[int, str] = {
    400: "invalid_request_error",
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    413: "invalid_request_error",
    429: "rate_limit_error",
}
_SERVER_ERROR = "server_error"


def problem_json(refused: Refused, request_id: str, status: int = 0) -> bytes:
    """The problem as JSON; ``status`` replaces the code's own if it isn't 0."""
    title = _TITLES[refused.code]
    shown_status = status or refused.status
    problem = {
        "type": "about:blank",
        "title": title,
        "status": shown_status,
        "code": refused.code.value,
        "detail": refused.detail,
        "executed": refused.executed.value,
        "retry_after_ms": refused.retry_after_ms,
        "request_id": request_id,
        "error": {
            "message": f"{title}: {refused.detail}" if refused.detail else title,
            "type": _ERROR_TYPES.get(shown_status, _SERVER_ERROR),
            "code": refused.code.value,
        },
    }
    return json.dumps(problem).encode()


def retry_after_seconds(refused: Refused) -> int:
    """The ``Retry-After`` header: whole seconds, rounded up so that none come early."""
    return -(-refused.retry_after_ms // 1000)
