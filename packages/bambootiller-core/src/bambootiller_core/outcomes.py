"""How a request can end, as tagged values.

A request ends in exactly one of these. ``Executed`` is what the system can say
truthfully about a call that it didn't answer: ``NO`` only if no backend server has run
it, or ever will, on account of this request."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Executed(enum.Enum):
    """Whether a call that wasn't answered has run."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class Code(enum.Enum):
    """The stable code of a refusal, and the HTTP status that goes with it."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_ADAPTER = "unknown_adapter"
    UNKNOWN_SERVICE = "unknown_service"
    NOT_ALLOWED = "not_allowed"
    KEY_REQUIRED = "idempotency_key_required"
    TOO_LATE = "cannot_meet_deadline"
    DEADLINE_PASSED = "deadline_passed"
    OVERLOADED = "overloaded"
    LEAVING = "leaving"
    NO_REPLICA = "no_replica"
    NO_MEMORY = "no_memory"
    LOAD_FAILED = "load_failed"
    NOT_HOLDER = "not_holder"
    BACKEND_FAILED = "backend_failed"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    ALREADY_CLAIMED = "already_claimed"
    NOT_READY = "not_ready"
    CALLER_GONE = "caller_gone"
    UNREACHABLE = "unreachable"


HTTP_STATUS: dict[Code, int] = {
    Code.BAD_REQUEST: 400,
    Code.BODY_TOO_LARGE: 413,
    Code.UNAUTHENTICATED: 401,
    Code.UNKNOWN_MODEL: 404,
    Code.UNKNOWN_ADAPTER: 404,
    Code.UNKNOWN_SERVICE: 404,
    Code.NOT_ALLOWED: 403,
    Code.KEY_REQUIRED: 400,
    Code.TOO_LATE: 503,
    Code.DEADLINE_PASSED: 504,
    Code.OVERLOADED: 503,
    Code.LEAVING: 503,
    Code.NO_REPLICA: 503,
    Code.NO_MEMORY: 503,
    Code.LOAD_FAILED: 503,
    Code.NOT_HOLDER: 503,
    Code.BACKEND_FAILED: 502,
    Code.CLAIM_UNAVAILABLE: 503,
    Code.ALREADY_CLAIMED: 409,
    Code.NOT_READY: 503,
    Code.CALLER_GONE: 499,
    Code.UNREACHABLE: 503,
}

#: Refusals after which another agent may still serve the request within its deadline.
RETRYABLE = frozenset(
    {
        Code.LEAVING,
        Code.NO_REPLICA,
        Code.NO_MEMORY,
        Code.LOAD_FAILED,
        Code.NOT_HOLDER,
        Code.OVERLOADED,
        Code.TOO_LATE,
        Code.UNREACHABLE,
        Code.BACKEND_FAILED,
        Code.NOT_READY,
    }
)


@dataclass(frozen=True, slots=True)
class Refused:
    """The request isn't served. ``retry_after_ms`` tells when to come back."""

    code: Code
    executed: Executed
    detail: str
    retry_after_ms: int = 1000

    @property
    def status(self) -> int:
        """The HTTP status of this refusal."""
        return HTTP_STATUS[self.code]


@dataclass(frozen=True, slots=True)
class Answered:
    """The whole answer was passed on."""

    tokens: int
    replayed: bool = False


Final = Answered | Refused
