"""A call that the gateway handles, and its progress."""

from __future__ import annotations

from dataclasses import dataclass, field

from bambootiller_core.gateway.config import CallKind, Route
from bambootiller_core.gateway.customers import Customer
from bambootiller_core.gateway.incarnation import Incarnation

#: Subtracted from the time that a backend server is given, so that its own refusal at
#: the deadline still reaches the caller. Seconds.
DEADLINE_MARGIN_S = 0.01
#: The number of prompt parts that are considered; a caller may name thousands.
MAX_SHARED_PARTS = 16


@dataclass(frozen=True, slots=True)
class ModelRequest:
    """The model and prompt of a call to an engine.

    ``prefix`` holds the ids of the prompt's parts in order.
    """

    model: str
    adapter: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix: tuple[str, ...] = ()

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """The parts that other calls may share: all but the last, which is specific to
        this call. Of a long prompt only the first ones."""
        return self.prefix[:-1][:MAX_SHARED_PARTS]


@dataclass(frozen=True, slots=True)
class Call:
    """A call with its route resolved.

    Times are seconds on this process's monotonic clock. ``deadline`` is when the final
    answer is due: the earlier of the caller's own deadline and the route's timeout.
    ``first_event_due`` is when the caller of a stream disconnects if no event has come.
    ``model_request`` is the model and prompt of a call to an engine, None for other
    services.
    ``resume_after`` is the last event that the caller of a resumed stream already has.
    ``fingerprint`` is the same for every attempt and retry of a request. If calls need
    a key (``keyed``), ``key`` is the digest of the caller's key and ``customer`` the
    customer that holds it. ``tokens`` is the token count that the caller states, None
    if it states none.
    """

    request_id: str
    route: Route
    service: str
    arrived: float
    deadline: float
    first_event_due: float
    model_request: ModelRequest | None = None
    resume_after: int | None = None
    fingerprint: str = ""
    keyed: bool = False
    key: bytes | None = field(default=None, repr=False)
    customer: Customer | None = None
    tokens: int | None = None

    @property
    def effective_priority(self) -> int:
        """The effective priority of the call, 0 being the highest: the customer's
        priority if it has one, else the route's."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    @property
    def cost(self) -> float:
        """The call's cost against its customer's quota, 0 without a quota."""
        quota = self.customer.quota if self.customer is not None else None
        return 0.0 if quota is None else quota.cost(self.tokens)

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self.route.kind is CallKind.STREAM

    @property
    def may_rerun(self) -> bool:
        """Whether the call may safely run again from the start, whatever the first run
        did.

        This includes resumable streams, as long as nothing of the first run has been
        forwarded.
        """
        return self.route.idempotent or (self.is_stream and self.route.resumable)

    def next_event_due(self, progress: Progress) -> float:
        """When the caller of a stream disconnects unless another event has come."""
        if progress.forwarded_at is None or self.route.event_timeout_s is None:
            return self.first_event_due
        return progress.forwarded_at + self.route.event_timeout_s


@dataclass(slots=True)
class Progress:
    """The attempts of a call so far and what the caller has received.

    ``tried`` lists the backend servers of all attempts; ``sends`` counts the attempts
    in which the call was sent over a connection, the last of them at ``last_sent_at``.
    ``forwarded`` tells whether a part of
    an answer has been forwarded to the caller. ``last_event`` is the number of the last
    complete event forwarded, ``forwarded_at`` the time of that.
    """

    tried: list[Incarnation] = field(default_factory=list)
    sends: int = 0
    last_sent_at: float | None = None
    may_have_run: bool = False
    forwarded: bool = False
    last_event: int | None = None
    forwarded_at: float | None = None
