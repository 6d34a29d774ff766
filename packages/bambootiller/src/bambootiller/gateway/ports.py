"""What the gateway asks of a platform's adapter."""

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

#: Name and value as they stand on the wire, the name in lower case.
Header = tuple[bytes, bytes]


@dataclass(frozen=True, slots=True)
class Incoming:
    """A caller's request as read from its head.

    ``target`` is the path with the query, byte for byte; ``headers`` are those that may
    be passed on. ``deadline_s`` is the time that the caller still waits, ``key`` the
    digest of the one key that it carries, ``tokens`` the tokens that it names.
    """

    method: str
    host: str
    path: str
    target: bytes
    headers: tuple[Header, ...]
    request_id: str
    deadline_s: float | None = None
    ask: ModelRequest | None = None
    resume_after: int | None = None
    key: bytes | None = field(default=None, repr=False)
    tokens: int | None = None

    def head(self, headers: Sequence[Header], body: bytes) -> bytes:
        """The head of the request with these headers, as it goes to a backend
        server."""
        lines = [self.method.encode() + b" " + self.target + b" HTTP/1.1"]
        lines += [name + b": " + value for name, value in headers]
        if body or self.method not in ("GET", "HEAD", "DELETE"):
            lines.append(b"content-length: %d" % len(body))
        return b"\r\n".join(lines) + b"\r\n\r\n"


@dataclass(frozen=True, slots=True)
class Unreadable:
    """A request that can't be served as it stands, and what is wrong with it."""

    detail: str


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The status and headers of an answer, as a backend server sent them."""

    status: int
    headers: tuple[Header, ...]


class AnswerKind(enum.Enum):
    """What an answer is worth.

    ``ANSWER``: the backend server's own answer to this call. ``NOT_RUN``: a promise
    that the call hasn't run there. ``MISDIRECTED``: the same, because another backend
    server has the address, or doesn't hold the model. ``STRAY``: an answer to another
    call. ``USELESS``: nothing that may be passed on, after a run that may have
    happened."""

    ANSWER = "answer"
    NOT_RUN = "not run"
    MISDIRECTED = "misdirected"
    STRAY = "stray"
    USELESS = "useless"


class Dialect(Protocol):
    """The platform's names for what a request and an answer carry."""

    #: The path at which the balancer asks whether this process is ready.
    ready_path: str

    def read(self, scope: dict[str, Any]) -> Incoming | Unreadable:
        """Read the head of a request."""

    def request_headers(
        self, incoming: Incoming, call: Call, instance: str, resume_after: int | None
    ) -> list[Header]:
        """The headers for a backend server, without the time left and the framing."""

    def time_left_header(self, seconds: float) -> Header:
        """The header that tells a backend server how long it has."""

    def classify(self, call: Call, head: AnswerHead) -> AnswerKind:
        """What an answer with this head is worth."""

    def limit(self, head: AnswerHead) -> float | Unreadable | None:
        """The calls a second that the backend server takes from all instances together,
        None if it names no limit."""

    def response_headers(self, head: AnswerHead) -> list[Header]:
        """The headers of an answer that go to the caller."""

    def refusal_headers(self, incoming: Incoming | None, come_back_s: float | None):
        """The headers of the gateway's own answer."""


class Directory(Protocol):
    """Which documents the store holds for the gateway, and how they read."""

    #: Documents under these prefixes concern the gateway.
    prefixes: Sequence[str]

    def config(self, record: Record) -> GatewayConfig | Unreadable | None:
        """The configuration, or None if the record isn't that document."""

    def registration(self, record: Record) -> Registration | Unreadable | None:
        """A registered backend server, or None if the record isn't one."""

    def instance_of(self, key: str) -> str | None:
        """The backend server that a removed key stood for."""


@dataclass(frozen=True, slots=True)
class ReportFailed:
    """The engine's report couldn't be read, and why; ``gone`` if nothing listens at its
    port, so that no load goes on there."""

    detail: str
    gone: bool = False


class Engine(Protocol):
    """The engine beside an agent."""

    async def report(self) -> EngineReport | ReportFailed:
        """What it holds and how busy it is."""

    async def order(self, order: EngineOrder, instance: str, token: int) -> OrderAnswer:
        """Give it an order once."""

    async def close(self) -> None:
        """Release the connections."""


@dataclass(frozen=True, slots=True)
class Bounds:
    """What the platform promises its callers, as far as the gateway acts on it.

    ``leaving_s`` is within how long a backend server that leaves has to get no more
    work, in seconds, ``quota`` what is tolerated beyond a customer's quota."""

    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0
    leaving_s: float = 2.0
    quota: QuotaTolerance = QuotaTolerance()


@dataclass(slots=True)
class Platform:
    """All that an adapter provides for one process; ``bounds`` may change later."""

    kv: KeyValue
    directory: Directory
    dialect: Dialect
    bounds: Bounds
