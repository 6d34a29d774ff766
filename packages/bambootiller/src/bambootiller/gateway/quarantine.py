"""Quarantines requests that crash backend servers, in all processes.

An entry records the runs that it lost and reports them to the agents that collect the
demand; those report them to all entries. So an entry that has just started or was
disconnected gets the evidence of the others from the first of these agents that it
reaches, and an entry's evidence survives the entry.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from bambootiller.gateway import message_codec
from bambootiller.gateway.event_log import EventLog
from bambootiller.gateway.exchange import PeerStream, Update
from bambootiller.gateway.gateway_state import GatewayState
from bambootiller_core.gateway.calls import Call
from bambootiller_core.gateway.crash_evidence import crash_verdict
from bambootiller_core.gateway.crash_ledger import (
    ADMITTED,
    Admission,
    AdmissionDecision,
    CrashLedger,
    CrashVerdict,
    LostRun,
    part_name,
)
from bambootiller_core.gateway.fleet import Backend
from bambootiller_core.gateway.incarnation import Incarnation
from bambootiller_core.gateway.log_lines import RequestCleared, RequestQuarantined
from bambootiller_core.timers import TimerService

#: How often the backend servers where runs were lost are checked for a crash. A
#: caller's next attempt may come as soon as this. Seconds.
SETTLE_INTERVAL_S = 0.1
FORGET_INTERVAL_S = 60.0
#: Precedes the model's name in the fingerprint of a load.
LOAD_PREFIX = "load "
#: An engine that a load crashes ends when the load begins; one that ends later than
#: this counts as half a crash. Seconds.
EARLY_CRASH_S = 1.0
#: The source of lost runs that were read from the key-value service.
RECORD_SOURCE = "record"

Listener = Callable[[str, tuple[LostRun, ...]], None]


class Quarantine:
    """One process's evidence of requests that crash backend servers.

    ``send_now`` has new evidence sent to peers soon.

    Example::

        quarantine.record_lost_run(call, backend, progressed=False)
        if quarantine.admission(call).decision is AdmissionDecision.QUARANTINED: ...
    """

    def __init__(
        self,
        gateway_state: GatewayState,
        events: EventLog,
        clock: Callable[[], float],
        send_now: Callable[[], None],
    ) -> None:
        self._gateway_state = gateway_state
        self._events = events
        self._clock = clock
        self._send_now = send_now
        self._ledger = CrashLedger()
        self._listener: Listener | None = None

    def start(self, timers: TimerService, now: float) -> None:
        """Start the timers that evaluate and prune lost runs."""
        timers.every("settle lost runs", SETTLE_INTERVAL_S, now, self.settle)
        timers.every("forget lost runs", FORGET_INTERVAL_S, now, self._ledger.forget)

    def on_quarantined(self, listener: Listener) -> None:
        """Call ``listener`` for each request that is quarantined from now on and of
        which this process lost a run."""
        self._listener = listener

    def restore(self, runs: Iterable[LostRun]) -> None:
        """Add lost runs that were recorded before this process started."""
        for run in runs:
            self._ledger.record_lost_run(run, RECORD_SOURCE)
        self.settle(self._clock())

    @property
    def quarantined_count(self) -> int:
        """The number of quarantined requests."""
        return self._ledger.quarantined_count

    def record_lost_run(self, call: Call, backend: Backend, progressed: bool) -> None:
        """Record that a run of the call ended without an answer."""
        if backend.registration.leaving:
            # It was about to stop, whatever ran there.
            return
        self._record_lost(_fingerprints(call), backend.incarnation, progressed)

    def completed(self, call: Call) -> None:
        """Record that a run of the call was answered completely."""
        for name in _fingerprints(call):
            self._record_completed(name)

    def load_lost(self, model: str, engine: Incarnation, seconds: float) -> None:
        """Record that the engine stopped answering ``seconds`` after the load of a
        model began."""
        self._record_lost((LOAD_PREFIX + model,), engine, seconds > EARLY_CRASH_S)

    def load_completed(self, model: str) -> None:
        """Record that the load of a model has succeeded."""
        self._record_completed(LOAD_PREFIX + model)

    def load_admission(self, model: str) -> Admission:
        """Whether the model may be loaded now: a load can crash engines as a request
        can."""
        return self._ledger.admission(self._clock(), LOAD_PREFIX + model)

    def admission(self, call: Call) -> Admission:
        """Whether the call may be sent to a backend server now."""
        if self._ledger.is_empty:
            return ADMITTED
        return self._ledger.admission(self._clock(), *_fingerprints(call))

    def admits(self, call: Call) -> bool:
        """Whether the call may be sent at once."""
        return self.admission(call).decision is AdmissionDecision.ADMITTED

    def suspects(self, call: Call) -> bool:
        """Whether runs of the request were lost and haven't been explained yet."""
        return any(self._ledger.lost_runs(name) for name in _fingerprints(call))

    def fill(self, update: Update, peer_stream: PeerStream, own: bool) -> None:
        """Add the evidence that hasn't been sent to the receiver yet. ``own`` leaves
        out what other processes reported, unless this is the first message to it."""
        update_filter = peer_stream.update_filter(
            "quarantine", self._ledger.version, own
        )
        if update_filter is None:
            return
        unsent = self._ledger.unsent(update_filter)
        now = self._clock()
        for run in unsent.runs:
            message_codec.add_lost_run(update, run, now)
        update.sound.extend(unsent.sound)

    def take(self, update: Update, peer_stream: PeerStream) -> None:
        """Apply the evidence in a peer's message."""
        if not update.lost_runs and not update.sound:
            return
        version, now = self._ledger.version, self._clock()
        for message in update.lost_runs:
            self._ledger.record_lost_run(
                message_codec.lost_run_of(message, now), peer_stream.peer
            )
        for fingerprint in update.sound:
            lost_runs = self._ledger.completed(fingerprint, peer_stream.peer, now)
            if lost_runs:
                line = RequestCleared(fingerprint, lost_runs, peer_stream.peer)
                self._events.emit(line)
        if self._ledger.version != version:
            self.settle(now)
            self._send_now()

    def _record_lost(
        self, fingerprints: Iterable[str], incarnation: Incarnation, progressed: bool
    ) -> None:
        now = self._clock()
        runs = [LostRun(name, incarnation, progressed, now) for name in fingerprints]
        if any([self._ledger.record_lost_run(run) for run in runs]):
            self.settle(now)
            self._send_now()

    def _record_completed(self, name: str) -> None:
        lost_runs = self._ledger.completed(name, now=self._clock())
        if lost_runs:
            self._events.emit(RequestCleared(name, lost_runs, "run"))
            self._send_now()

    def settle(self, now: float) -> None:
        """Decide again which of the lost runs crashed their backend servers."""
        if self._ledger.is_empty:
            return
        fleet = self._gateway_state.fleet

        def verdict(run: LostRun, before: CrashVerdict) -> CrashVerdict:
            return crash_verdict(now, run, before, fleet)

        for found in self._ledger.settle(now, verdict):
            name = found.fingerprint
            self._events.emit(RequestQuarantined(name, found.crashes, found.backends))
            if self._listener is not None and self._ledger.has_local_lost_run(name):
                self._listener(name, self._ledger.lost_runs(name))


def _fingerprints(call: Call) -> tuple[str, ...]:
    """The fingerprints of what may crash the backend servers that run the call: the
    whole request, and the parts of its prompt that other requests may share."""
    if call.model_request is None:
        return (call.fingerprint,)
    return (call.fingerprint, *map(part_name, call.model_request.shared_parts))
