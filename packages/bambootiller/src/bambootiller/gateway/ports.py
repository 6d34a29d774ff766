"""The interfaces that a platform's adapter implements for the gateway."""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from bambootiller_core.gateway.calls import Call, ModelRequest
from bambootiller_core.gateway.config import GatewayConfig
from bambootiller_core.gateway.fleet import Registration
from bambootiller_core.gateway.order_messages import (
    EngineOrder,
    EngineReport,
    OrderAnswer,
)
from bambootiller_core.gateway.quota_limits import QuotaTolerance
from bambootiller_core.ports import KeyValue, Record

#: A header's name, in lower case, and value as on the wire.
Header = tuple[bytes, bytes]


@dataclass(frozen=True, slots=True)
class Incoming:
    """A caller's request as parsed from its head.

    ``target`` is the path with the query, byte for byte; ``headers`` are those that may
    be forwarded. ``deadline_s`` is for how many seconds the caller still waits.
    ``model_request`` is the model that the request names, with its prompt. ``key`` is
    the digest of the request's only API key, ``tokens`` the number of tokens that the
    request states. Each is None if the request doesn't state it.
    """

    method: str
    host: str
    path: str
    target: bytes
    headers: tuple[Header, ...]
    request_id: str
    deadline_s: float | None = None
    model_request: ModelRequest | None = None
    resume_after: int | None = None
    key: bytes | None = field(default=None, repr=False)
    tokens: int | None = None

    def head(self, headers: Sequence[Header], body: bytes) -> bytes:
        """The head of the request with these headers, as sent to a backend server."""
        lines = [self.method.encode() + b" " + self.target + b" HTTP/1.1"]
        lines += [name + b": " + value for name, value in headers]
        if body or self.method not in ("GET", "HEAD", "DELETE"):
            lines.append(b"content-length: %d" % len(body))
        return b"\r\n".join(lines) + b"\r\n\r\n"


@dataclass(frozen=True, slots=True)
class Unreadable:
    """A request, header or document that can't be interpreted, and why."""

    detail: str


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The status and headers of an answer, as a backend server sent them."""

    status: int
    headers: tuple[Header, ...]


class AnswerKind(enum.Enum):
    """How an answer is to be treated.

    ``ANSWER``: the backend server's own answer to this call. ``NOT_RUN``: a guarantee
    that the call hasn't run there. ``MISDIRECTED``: the same, because another backend
    server has the address, or because this one doesn't hold the model. ``STRAY``: an
    answer to another call. ``USELESS``: an answer that may not be forwarded, although
    the call may have run."""

    ANSWER = "answer"
    NOT_RUN = "not run"
    MISDIRECTED = "misdirected"
    STRAY = "stray"
    USELESS = "useless"


class Dialect(Protocol):
    """The platform's encoding of requests and answers in HTTP."""

    #: The path of the load balancer's readiness check.
    ready_path: str

    def read(self, scope: dict[str, Any]) -> Incoming | Unreadable:
        """Parse the head of a request from its ASGI scope."""

    def request_headers(
        self, incoming: Incoming, call: Call, instance: str, resume_after: int | None
    ) -> list[Header]:
        """The request headers for a backend server, without the time left and the
        framing."""

    def time_left_header(self, seconds: float) -> Header:
        """The header with the seconds that a backend server has left to answer."""

    def classify(self, call: Call, head: AnswerHead) -> AnswerKind:
        """Classify an answer to ``call`` by its head."""

    def limit(self, head: AnswerHead) -> float | Unreadable | None:
        """The calls per second that the backend server accepts from all instances
        together, None if the answer reports no limit."""

    def response_headers(self, head: AnswerHead) -> list[Header]:
        """The headers of an answer that are forwarded to the caller."""

    def refusal_headers(self, incoming: Incoming | None, retry_after_s: float | None):
        """The headers of a refusal by the gateway itself."""


class Directory(Protocol):
    """Locates and parses the gateway's documents in the store."""

    #: The key prefixes of the gateway's documents.
    prefixes: Sequence[str]

    def config(self, record: Record) -> GatewayConfig | Unreadable | None:
        """The configuration, or None if the record is another document."""

    def registration(self, record: Record) -> Registration | Unreadable | None:
        """A registered backend server, or None if the record is another document."""

    def instance_of(self, key: str) -> str | None:
        """The instance of the backend server whose registration has this key, None if
        the key is another document's."""


@dataclass(frozen=True, slots=True)
class ReportFailed:
    """Why the engine's report couldn't be read. ``gone`` is set if nothing listens on
    its port, so that no load can be running there."""

    detail: str
    gone: bool = False


class Engine(Protocol):
    """The interface of an agent to its engine."""

    async def report(self) -> EngineReport | ReportFailed:
        """The engine's resident models and its load."""

    async def order(self, order: EngineOrder, instance: str, token: int) -> OrderAnswer:
        """Send an order to the engine once, without retries."""

    async def close(self) -> None:
        """Close the connections to the engine."""


@dataclass(frozen=True, slots=True)
class Bounds:
    """The platform's guarantees to its callers that the gateway has to keep.

    The ``retry_`` fields are the parameters of the retry budget. A backend server gets
    no more calls from ``leaving_s`` seconds after it began to leave, and renews its
    registration every ``heartbeat_s`` seconds. A process whose connections were
    disturbed keeps the guarantees again ``contact_s`` seconds after that has ended.
    ``quota`` is the tolerance beyond a customer's quota."""

    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0
    leaving_s: float = 2.0
    heartbeat_s: float = 1.2
    contact_s: float = 3.0
    quota: QuotaTolerance = QuotaTolerance()


@dataclass(slots=True)
class Platform:
    """All that an adapter provides for one process; ``bounds`` may be replaced at run
    time."""

    kv: KeyValue
    directory: Directory
    dialect: Dialect
    bounds: Bounds
