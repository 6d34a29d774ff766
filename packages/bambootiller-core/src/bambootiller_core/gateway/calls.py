"""One call of a caller, as the gateway decides on it."""

from __future__ import annotations

from dataclasses import dataclass, field

from bambootiller_core.gateway.config import CallKind, Route
from bambootiller_core.gateway.customers import Customer
from bambootiller_core.gateway.incarnation import Incarnation

#: Taken off the time that a backend server is given, so that its own refusal at the
#: deadline still reaches the caller. Seconds.
DEADLINE_MARGIN_S = 0.01
#: So many parts of a prompt are told apart; a caller may name thousands.
MAX_SHARED_PARTS = 16


@dataclass(frozen=True, slots=True)
class ModelRequest:
    """What a call of an engine asks for.

    ``prefix`` are the ids of the prompt's parts in order.
    """

    model: str
    adapter: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix: tuple[str, ...] = ()

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """The parts that other calls may have as well, the first of a long prompt; the
        last part is the call's own."""
        return self.prefix[:-1][:MAX_SHARED_PARTS]


@dataclass(frozen=True, slots=True)
class Call:
    """A call with its route resolved.

    Times are seconds on this process's monotonic clock. ``deadline`` is when the final
    answer is due: the earlier of the caller's own deadline and the route's timeout.
    ``first_event_due`` is when the caller of a stream leaves if nothing has come.
    ``resume_after`` is the last event that the caller of a resumed stream already has.
    ``fingerprint`` is the same for each try of a request. Where customers are told
    apart (``keyed``), ``key`` is the digest of the caller's key and ``customer`` who
    holds it; ``tokens`` are those that the caller names, None without.
    """

    request_id: str
    route: Route
    service: str
    arrived: float
    deadline: float
    first_event_due: float
    ask: ModelRequest | None = None
    resume_after: int | None = None
    fingerprint: str = ""
    keyed: bool = False
    key: bytes | None = field(default=None, repr=False)
    customer: Customer | None = None
    tokens: int | None = None

    @property
    def priority(self) -> int:
        """Its priority, where 0 goes first: the customer's goes before the route's."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    @property
    def cost(self) -> float:
        """What it counts in its customer's quota, 0 without one."""
        quota = self.customer.quota if self.customer is not None else None
        return 0.0 if quota is None else quota.cost(self.tokens)

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a series of events."""
        return self.route.kind is CallKind.STREAM

    @property
    def may_rerun(self) -> bool:
        """Whether a second run from the start harms nobody, whatever the first did.

        A stream that may be resumed may also be run anew as long as nothing of the
        first run has been passed on.
        """
        return self.route.idempotent or (self.is_stream and self.route.resumable)

    def next_event_due(self, progress: Progress) -> float:
        """When the caller of a stream leaves unless something more has come by then."""
        if progress.forwarded_at is None or self.route.event_timeout_s is None:
            return self.first_event_due
        return progress.forwarded_at + self.route.event_timeout_s


@dataclass(slots=True)
class Progress:
    """How far a call has come.

    ``tried`` are the backend servers that an attempt was made at; ``sends`` counts the
    attempts for which a connection was made and the call went out. ``last_event`` is
    the number of the last whole event passed on, ``forwarded_at`` when that was.
    """

    tried: list[Incarnation] = field(default_factory=list)
    sends: int = 0
    may_have_run: bool = False
    forwarded: bool = False
    last_event: int | None = None
    forwarded_at: float | None = None
