"""What an entry knows of the backend servers, with the age of each part.

Two sources tell of a backend server. The registry in the store says who exists, where,
and who is leaving; it is the authority on both. The agent beside an engine tells what
the engine holds and how busy it is, fresher than the registry by a second or more. What
an agent said stays true for holdings after the agent falls silent, because nobody else
orders its engine to unload; its load figures don't.

All that is known is known of one start of a backend server (:class:`Incarnation`). When
another start appears under the same name, from either source, a new :class:`Backend`
takes the place of the old one; what refers to the old one, such as a call that ran
there, keeps it and changes nothing of the new.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace

from bambootiller_core.gateway.engine_state import EngineState
from bambootiller_core.gateway.incarnation import Incarnation

#: An agent that hasn't been heard for so long takes no orders, as far as an entry
#: knows. Agents speak at least every half second. Seconds.
AGENT_TIMEOUT_S = 1.5
#: An engine that could not be reached is taken for lost for so long, while its agent
#: is silent too; then somebody tries again. Seconds; longer than a registration takes
#: to lapse would be of no use.
UNREACHED_TTL_S = 3.0
#: Load figures older than this tell nothing. Seconds.
FIGURES_TTL_S = 1.0
#: For how long a backend server isn't asked again for what it has denied to hold.
#: Seconds; about as long as the registry lags.
DENIAL_TTL_S = 1.5
#: While the store was away the registry may have dropped entries of live backend
#: servers; those are back within two seconds of the store's return. Seconds.
EXPIRY_GRACE_S = 2.3


@dataclass(frozen=True, slots=True)
class Registration:
    """A backend server as the registry lists it; ``started_ms`` tells its starts under
    one name apart."""

    instance: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool
    revision: int
    holdings: Mapping[str, frozenset[str]] = field(default_factory=dict)
    started_ms: int | None = None

    @property
    def incarnation(self) -> Incarnation:
        """The start that the entry is of."""
        return Incarnation(self.instance, self.started_ms)

    @property
    def host(self) -> str:
        """The IP address without the port."""
        return self.address.rsplit(":", 1)[0]


def _identity(now: float) -> float:
    return now


@dataclass(slots=True)
class Backend:
    """One start of a backend server as an entry sees it.

    ``in_flight`` counts the entry's own calls. ``listed`` is False as long as only the
    agent has told of this start, ``replaced`` True once another has taken its place.
    ``last_reported_at`` is when the registry or the agent told of it last.

    ``running_time`` turns a time into running time; see
    :mod:`bambootiller_core.gateway.running`. The silence of the agent is measured in
    it: after a standstill of this process all agents would count as silent, and every
    call that came meanwhile would be refused for want of an engine that takes orders.
    """

    registration: Registration
    engine: EngineState | None = None
    #: The running time at which the agent was heard last.
    last_received_at: float = float("-inf")
    in_flight: int = 0
    #: The entry's own calls there of which no event has come yet.
    pending_prefills: int = 0
    in_flight_by_model: dict[str, int] = field(default_factory=dict)
    missing_since: float | None = None
    unreachable_at: float = float("-inf")
    denials: dict[str, float] = field(default_factory=dict)
    #: Until when it counts as short of room under the limit that it names.
    throttled_until: float = float("-inf")
    #: The latest revision of its entry that couldn't be read.
    unreadable_revision: int = 0
    listed: bool = True
    replaced: bool = False
    last_reported_at: float = float("-inf")
    running_time: Callable[[float], float] = _identity

    @property
    def readable(self) -> bool:
        """Whether its entry could be read when it was last written."""
        return self.unreadable_revision < self.registration.revision

    @property
    def instance(self) -> str:
        """The name of the backend server, which its next start may have too."""
        return self.registration.instance

    @property
    def incarnation(self) -> Incarnation:
        """Which start of the backend server this is."""
        return self.registration.incarnation

    def is_superseded_by(self, now: float, incarnation: Incarnation) -> bool:
        """Whether word of ``incarnation`` means that this start is over."""
        return incarnation.supersedes(self.incarnation, now - self.last_reported_at)

    @property
    def holdings(self) -> Mapping[str, frozenset[str]]:
        """The models held, with their adapters, from the fresher source."""
        if self.engine is not None:
            return self.engine.holdings
        return self.registration.holdings

    def serves(self, now: float, model: str, adapter: str = "") -> bool:
        """Whether it can take a call for the model, and for the adapter if one is
        named, as far as known."""
        held = self.holdings.get(model)
        if held is None or (adapter and adapter not in held):
            return False
        names = usage_keys(model, adapter)
        return all(
            now - self.denials.get(name, float("-inf")) > DENIAL_TTL_S for name in names
        )

    def record_denial(self, now: float, model: str, adapter: str) -> None:
        """It has turned a call away because it doesn't hold what the call needs.

        Without an agent the registry tells what it holds, a second or more late. After
        a restart it is empty, and each call would be sent there only to be turned away.
        """
        self.denials[usage_keys(model, adapter)[-1]] = now

    def agent_responsive(self, now: float) -> bool:
        """Whether the agent has spoken lately."""
        return self.engine is not None and self.agent_silence_s(now) < AGENT_TIMEOUT_S

    def agent_silence_s(self, now: float) -> float:
        """For how long this process has heard nothing of the agent. Seconds."""
        return self.running_time(now) - self.last_received_at

    def mark_unreachable(self, now: float) -> None:
        """No connection was made to it, or a call there met silence."""
        self.unreachable_at = now

    def lost(self, now: float) -> bool:
        """Whether the engine is gone or cut off, as far as an entry can tell.

        The registry says so only some seconds later. Until then calls would be sent
        there one after the other, and models that nobody else holds would count as
        held, so that nobody loads them. Silence of the agent alone doesn't tell: its
        process may have ended while the engine works on. Nor does silence of the
        engine alone, which may be busy; but where its agent says so too, it does. A
        start that another has followed is over whatever anybody says.
        """
        if self.replaced:
            return True
        if self.engine is None or now - self.unreachable_at >= UNREACHED_TTL_S:
            return False
        return self.engine.silent or not self.agent_responsive(now)

    def accepts_orders(self, now: float) -> bool:
        """Whether a load can be ordered here."""
        if self.registration.leaving or not self.agent_responsive(now):
            return False
        return self.engine.orderable

    def occupied(self, now: float) -> int:
        """Calls running or queued here, as far as known."""
        if self.engine is None or self.agent_silence_s(now) > FIGURES_TTL_S:
            return self.in_flight
        return max(self.in_flight, self.engine.running + self.engine.queued)

    def engine_pending_prefills(self, now: float) -> int:
        """Calls there whose prompts are still to be read, as far as known."""
        if self.engine is None or self.agent_silence_s(now) > FIGURES_TTL_S:
            return self.pending_prefills
        return max(self.pending_prefills, self.engine.queued)

    def prefill_pending(self) -> None:
        """A prompt of this entry goes there."""
        self.pending_prefills += 1

    def prefill_done(self) -> None:
        """Its first event has come, or its call has ended."""
        self.pending_prefills = max(0, self.pending_prefills - 1)

    def call_sent(self, model: str, adapter: str = "") -> None:
        """One of this entry's calls goes there."""
        self.in_flight += 1
        uses = self.in_flight_by_model
        for name in usage_keys(model, adapter):
            uses[name] = uses.get(name, 0) + 1

    def call_ended(self, model: str, adapter: str = "") -> None:
        """That call has ended.

        It is counted here and not by name: a call that was under way as the backend
        server started anew would take one off the count of the new start, which would
        then be given more calls than it takes.
        """
        self.in_flight = max(0, self.in_flight - 1)
        uses = self.in_flight_by_model
        for name in usage_keys(model, adapter):
            left = uses.pop(name, 0) - 1
            if left > 0:
                uses[name] = left


class Fleet:
    """The backend servers by instance, from the registry and the agents.

    Example::

        fleet.registry_changed(now, record)
        fleet.engine_told(now, state)
        for backend in fleet.of_service("tutor"): ...
    """

    def __init__(self, running_time: Callable[[float], float] = _identity) -> None:
        self._running_time = running_time
        self._backends: dict[str, Backend] = {}
        #: The instance that was registered last at each address.
        self._instance_by_address: dict[str, str] = {}
        self._store_returned_at = float("-inf")

    def __iter__(self) -> Iterator[Backend]:
        for backend in self._backends.values():
            if backend.readable and not self._superseded(backend):
                yield backend

    def get(self, instance: str) -> Backend | None:
        """The latest start of the backend server, if it is known."""
        return self._backends.get(instance)

    def is_current(self, incarnation: Incarnation) -> bool:
        """Whether this start is known, and no later one."""
        found = self._backends.get(incarnation.instance)
        return found is not None and found.incarnation == incarnation

    def of_service(self, service: str) -> list[Backend]:
        """Those that may be given work of the service: listed, and not leaving."""
        return [
            backend
            for backend in self
            if backend.registration.service == service
            and not backend.registration.leaving
        ]

    def all_of_service(self, service: str) -> list[Backend]:
        """The same, and those that leave."""
        return [backend for backend in self if backend.registration.service == service]

    def store_returned(self, now: float) -> None:
        """The store answers again after it was away; entries may be missing for now."""
        self._store_returned_at = now

    def registry_changed(self, now: float, record: Registration) -> bool:
        """Take over an entry of the registry; False if a newer one is held.

        The start goes before the revision: a write of the start before that was held up
        on its way to the store has a revision above the first of the next start.
        """
        held = self._backends.get(record.instance)
        if held is None or held.is_superseded_by(now, record.incarnation):
            self._add_start(now, record)
            return True
        if record.incarnation.precedes(held.incarnation):
            return False
        held.last_reported_at = now
        held.missing_since = None
        held.listed = True
        if record.revision < held.registration.revision:
            return False
        if held.registration.leaving and not record.leaving:
            # A start that leaves doesn't come back; a late write would undo the drain.
            return False
        if record.started_ms is None:
            record = replace(record, started_ms=held.registration.started_ms)
        held.registration = record
        self._note_address(record)
        return True

    def _add_start(
        self, now: float, record: Registration, listed: bool = True
    ) -> Backend:
        """A start begins. What was remembered under its name is of the one before, and
        would show as models that nobody holds counting as held."""
        before = self._backends.get(record.instance)
        if before is not None:
            before.replaced = True
            self._drop(record.instance)
        backend = self._backends[record.instance] = Backend(
            record, listed=listed, last_reported_at=now, running_time=self._running_time
        )
        self._note_address(record)
        return backend

    def registry_unreadable(self, instance: str, revision: int) -> None:
        """The entry can't be read any more: the backend server is used no longer.

        It isn't dropped, because calls under way there go on, and are still counted
        when a later entry can be read.
        """
        held = self._backends.get(instance)
        if held is not None:
            held.unreadable_revision = max(held.unreadable_revision, revision)

    def registry_removed(self, now: float, instance: str) -> None:
        """The registry lists the instance no more.

        Shortly after the store's return that says little: the entry may have lapsed
        while the store couldn't hear the backend server. Nor does it say much of a
        start that the registry hasn't listed yet: the entry was of the one before.
        """
        held = self._backends.get(instance)
        if held is None:
            return
        lapsed = (
            now - self._store_returned_at < EXPIRY_GRACE_S
            and not held.registration.leaving
        )
        if lapsed or not held.listed:
            if held.missing_since is None:
                held.missing_since = now
            return
        self._drop(instance)

    def registry_listed(self, now: float, records: Iterable[Registration]) -> None:
        """Take over the whole registry."""
        listed = set()
        for record in records:
            listed.add(record.instance)
            self.registry_changed(now, record)
        for instance in list(self._backends):
            if instance not in listed:
                self.registry_removed(now, instance)

    def sweep(self, now: float) -> list[str]:
        """Drop those that stayed missing after the store's return; return their
        names."""
        gone = [
            backend.instance
            for backend in self._backends.values()
            if backend.missing_since is not None and self._stays_missing(now, backend)
        ]
        for instance in gone:
            self._drop(instance)
        return gone

    def _stays_missing(self, now: float, backend: Backend) -> bool:
        since = self._store_returned_at
        if not backend.listed:
            since = max(since, backend.missing_since)
        return now - since >= EXPIRY_GRACE_S

    def _note_address(self, record: Registration) -> None:
        last = self._backends.get(self._instance_by_address.get(record.address, ""))
        if last is None or last.registration.revision < record.revision:
            self._instance_by_address[record.address] = record.instance

    def _superseded(self, backend: Backend) -> bool:
        """Whether another start has been registered since at the same address.

        The registry lists a crashed start until it has missed some heartbeats. What it
        held would count as held all that time: others that hold it are unloaded, and
        nobody loads it. After all engines had been restarted, the only holder of a
        model with 24 calls waiting was unloaded for one with a single call.
        """
        last = self._backends.get(
            self._instance_by_address.get(backend.registration.address, "")
        )
        if last is None or last is backend:
            return False
        return last.registration.revision > backend.registration.revision

    def _drop(self, instance: str) -> None:
        address = self._backends.pop(instance).registration.address
        if self._instance_by_address.get(address) != instance:
            return
        del self._instance_by_address[address]
        for backend in self._backends.values():
            if backend.registration.address == address:
                self._note_address(backend.registration)

    def engine_told(self, now: float, state: EngineState) -> bool:
        """Take over what an agent said; False if the instance isn't listed (yet), or
        has started anew since.

        The agent may know of a start before the registry lists it.
        """
        backend = self._backends.get(state.instance)
        if backend is None:
            return False
        if backend.is_superseded_by(now, state.incarnation):
            # The same place, and no word yet of its own on leaving.
            fields = {"started_ms": state.started_ms, "leaving": False, "holdings": {}}
            found = replace(backend.registration, **fields)
            backend = self._add_start(now, found, listed=False)
        elif state.incarnation.precedes(backend.incarnation):
            return False
        elif backend.registration.started_ms is None:
            known = replace(backend.registration, started_ms=state.started_ms)
            backend.registration = known
        backend.engine = state
        backend.last_received_at = self._running_time(now)
        backend.last_reported_at = now
        backend.denials.clear()
        return True


def usage_keys(model: str, adapter: str) -> tuple[str, ...]:
    """The names under which a call's use of its model and adapter is counted."""
    if not model:
        return ()
    return (model, f"{model}/{adapter}") if adapter else (model,)
