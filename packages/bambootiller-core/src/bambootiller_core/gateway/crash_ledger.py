"""Finds requests, and prompt parts, that crash the backend servers that run them.

Such a request crashes one backend server with each attempt, and every other run there
is lost with it. After its third crash it is quarantined: a circuit breaker for a single
request. If a prompt part is the cause, the requests that contain it differ; so every
part that other requests may share is a suspect besides the whole request. The ledger
holds the lost runs of all entries by suspect. The cause of a crash can't be observed
directly, so it is inferred from which runs were lost together:

- A request is sound once a run of it has completed, whatever crashes it was involved
  in. So are the parts of its prompt, as long as completions continue.
- A lost run counts as a crash only if that start of the backend server ended with it.
  It counts half if it had produced an event: a request that crashes whatever starts to
  run it produces none.
- Crashes that a quarantined request was involved in count against no other suspect. If
  a request and a part were involved in the same crashes, the request is quarantined,
  because that excludes fewer calls.
- If two parts were involved in the same crashes, either may be the cause. A request
  that contains only one of them may still run, and shows which one it is.
- Requests that share crashes are run again one after the other (:data:`STAGGER_S`), so
  that the next crash distinguishes them.

Each process decides independently on the same records; no agreement is needed.
"""

from __future__ import annotations

import enum
import heapq
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass

from bambootiller_core.gateway.incarnation import Incarnation
from bambootiller_core.gateway.update_filter import UpdateFilter

#: A request is quarantined once this many crashes count against it.
QUARANTINE_CRASHES = 3.0
#: From this many crashes on, its runs are isolated from those of other suspects.
SUSPECT_CRASHES = 2.0
#: The weight of a crash whose lost run had produced an event.
PROGRESSED_WEIGHT = 0.5
#: How long a request is quarantined after its last crash. Seconds. Later the request or
#: the backend servers may have been fixed.
QUARANTINE_S = 600.0
#: Lost runs are dropped after this time. Seconds.
RETENTION_S = 3600.0
#: Requests that share crashes start this far apart: about the time that a run takes to
#: crash its backend server plus the time until other processes receive the report.
#: Seconds.
STAGGER_S = 0.3
#: Further requests share the last step, so that none waits longer than its caller does.
MAX_STAGGER_STEPS = 8
#: How soon to check a request again whose last lost run has no verdict yet. Seconds.
RECHECK_S = 0.05
#: The verdict on a lost run is final after this time. Seconds; longer than a backend
#: server's restart, and than an agent waits for an engine that doesn't answer.
VERDICT_FINAL_S = 20.0
#: The number of requests whose lost runs are kept. The least suspicious are evicted
#: first.
MAX_REQUESTS = 1024
#: The number of requests known to be sound, and as many parts, from the latest
#: completions.
MAX_SOUND = 4096
#: How long a part counts as sound after a request that contains it has completed.
#: Seconds. It may crash engines after the weights have changed.
SOUND_PART_TTL_S = 60.0
#: The prefix of a part's suspect name, in front of its id.
PART_PREFIX = "part "


def part_name(part: str) -> str:
    """The suspect name of a prompt part."""
    return PART_PREFIX + part


class CrashVerdict(enum.Enum):
    """Whether a backend server crashed with a run that was lost there."""

    UNDECIDED = "open"
    CRASHED = "crashed"
    SURVIVED = "survived"


@dataclass(frozen=True, slots=True)
class LostRun:
    """A run that ended without an answer.

    ``progressed`` tells whether it had produced an event. ``lost_at`` is in seconds on
    this process's monotonic clock.
    """

    fingerprint: str
    incarnation: Incarnation
    progressed: bool
    lost_at: float

    @property
    def weight(self) -> float:
        """The weight of this run if the backend server crashed with it."""
        return PROGRESSED_WEIGHT if self.progressed else 1.0


class AdmissionDecision(enum.Enum):
    """Whether a request may run now."""

    ADMITTED = "admitted"
    DEFERRED = "waits"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True)
class Admission:
    """The decision on a request, and in how many seconds to check it again if it may
    not run now.

    ``crashes`` is the weighted number of crashes that count against the suspect
    ``name``, including lost runs without a verdict.
    """

    decision: AdmissionDecision
    retry_in_s: float = 0.0
    crashes: float = 0.0
    name: str = ""

    @property
    def severity(self) -> tuple[int, float]:
        """A sort key: of several suspects, the one with the greatest severity
        decides."""
        order = (
            AdmissionDecision.ADMITTED,
            AdmissionDecision.DEFERRED,
            AdmissionDecision.QUARANTINED,
        )
        return order.index(self.decision), self.retry_in_s


ADMITTED = Admission(AdmissionDecision.ADMITTED)


@dataclass(frozen=True, slots=True)
class QuarantinedRequest:
    """A request that no backend server may run from now on, with its weighted number of
    crashes and the backend servers where its runs were lost."""

    fingerprint: str
    crashes: float
    backends: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class LedgerUpdate:
    """Changes of the ledger to send to a peer: lost runs, and suspects that are
    sound."""

    runs: tuple[LostRun, ...]
    sound: tuple[str, ...]


@dataclass(slots=True)
class _Record:
    run: LostRun
    version: int
    source: str
    verdict: CrashVerdict = CrashVerdict.UNDECIDED


class CrashLedger:
    """Lost runs by suspect, and the suspects that are quarantined because of them.

    A suspect is a request, by its fingerprint, or a prompt part, by its
    :func:`part_name`. ``source`` is the peer that reported something, empty for what
    was observed here.

    Example::

        ledger.record_lost_run(LostRun(fingerprint, incarnation, False, now))
        ledger.settle(now, lambda run, before: CrashVerdict.CRASHED)
        admission = ledger.admission(now, fingerprint)
        if admission.decision is AdmissionDecision.QUARANTINED: ...
    """

    def __init__(self) -> None:
        self._runs: dict[str, dict[Incarnation, _Record]] = {}
        #: Sound requests, and sound parts, with the time of the latest completion.
        self._sound: OrderedDict[str, float] = OrderedDict()
        self._sound_parts: OrderedDict[str, float] = OrderedDict()
        #: Sound suspects that other processes may still suspect, with version and
        #: source.
        self._cleared: OrderedDict[str, tuple[int, str]] = OrderedDict()
        #: Lost runs whose verdict isn't final.
        self._unsettled: list[_Record] = []
        self._quarantined: dict[str, float] = {}
        self._explained: set[Incarnation] = set()
        #: Counts the changes that peers may have to be sent.
        self.version = 0

    def record_lost_run(self, run: LostRun, source: str = "") -> bool:
        """Record a run that ended without an answer; returns whether the ledger has
        changed."""
        name = run.fingerprint
        if self._is_sound(name, run.lost_at):
            if source and name not in self._cleared:
                self._clear(name, "")
            return False
        records = self._runs.setdefault(name, {})
        held = records.get(run.incarnation)
        if held is not None and (run.progressed or not held.run.progressed):
            return False
        self.version += 1
        record = _Record(run, self.version, source)
        if held is not None:
            record.verdict = held.verdict
        records[run.incarnation] = record
        self._unsettled.append(record)
        self._evict_least_suspicious()
        return True

    def completed(self, fingerprint: str, source: str = "", now: float = 0.0) -> int:
        """Record that a run of the suspect was answered completely; returns how many
        lost runs are dropped because of that."""
        sound = self._sound_parts if _is_part(fingerprint) else self._sound
        sound[fingerprint] = now
        sound.move_to_end(fingerprint)
        if len(sound) > MAX_SOUND:
            sound.popitem(last=False)
        lost = len(self._runs.pop(fingerprint, ()))
        if lost or (source and fingerprint not in self._cleared):
            self._clear(fingerprint, source)
            self._update_quarantine()
        return lost

    def settle(
        self, now: float, crash_verdict: Callable[[LostRun, CrashVerdict], CrashVerdict]
    ) -> list[QuarantinedRequest]:
        """Update the verdicts that aren't final; ``crash_verdict`` gets a run and its
        previous verdict. Returns the suspects that are newly quarantined."""
        changed = False
        unsettled, self._unsettled = self._unsettled, []
        for record in unsettled:
            if not self._holds(record):
                continue
            before = record.verdict
            record.verdict = crash_verdict(record.run, before)
            changed = changed or record.verdict is not before
            if record.verdict is CrashVerdict.SURVIVED:
                self._drop(record.run)
            elif (
                now - record.run.lost_at <= VERDICT_FINAL_S
                or record.verdict is CrashVerdict.UNDECIDED
            ):
                self._unsettled.append(record)
        if not changed:
            return []
        before = set(self._quarantined)
        self._update_quarantine()
        return [
            self._quarantined_request(name)
            for name in self._quarantined
            if name not in before
        ]

    def admission(self, now: float, *names: str) -> Admission:
        """Whether a request with these suspects may run now."""
        found = [
            self._admission(now, name, names) for name in names if name in self._runs
        ]
        return max(found, key=lambda item: item.severity, default=ADMITTED)

    def _admission(
        self, now: float, fingerprint: str, names: Collection[str]
    ) -> Admission:
        last_at = self._last_lost_at(fingerprint)
        crashes = self._weighted_count(
            fingerprint, CrashVerdict.CRASHED, CrashVerdict.UNDECIDED
        )
        left_s = last_at + QUARANTINE_S - now
        quarantined = fingerprint in self._quarantined and left_s > 0
        if quarantined and not self._can_distinguish(fingerprint, names):
            return Admission(
                AdmissionDecision.QUARANTINED, left_s, crashes, fingerprint
            )
        if crashes >= QUARANTINE_CRASHES and self._weighted_count(
            fingerprint, CrashVerdict.UNDECIDED
        ):
            return Admission(
                AdmissionDecision.DEFERRED, RECHECK_S, crashes, fingerprint
            )
        if crashes < SUSPECT_CRASHES:
            return ADMITTED
        wait_s = last_at + self._stagger_step(fingerprint) * STAGGER_S - now
        if wait_s > 0:
            return Admission(AdmissionDecision.DEFERRED, wait_s, crashes, fingerprint)
        return Admission(AdmissionDecision.ADMITTED, 0.0, crashes, fingerprint)

    def _can_distinguish(self, part: str, names: Collection[str]) -> bool:
        """Whether a part that the request doesn't contain was involved in all crashes
        of the quarantined part, so that running the request shows which of the two is
        the cause."""
        if not _is_part(part):
            return False
        crashes = self._crash_weights(part)
        if not crashes:
            return False
        one = next(iter(crashes))
        others = [
            name
            for name, records in self._runs.items()
            if one in records and _is_part(name) and name not in names
        ]
        return any(
            crashes.keys() <= found.keys()
            and all(found[at] >= weight for at, weight in crashes.items())
            for found in map(self._crash_weights, others)
        )

    def _crash_weights(self, name: str) -> dict[Incarnation, float]:
        """The weight of each crash that the suspect was involved in."""
        return {
            incarnation: record.run.weight
            for incarnation, record in self._runs[name].items()
            if record.verdict is CrashVerdict.CRASHED
        }

    def _is_sound(self, name: str, at: float) -> bool:
        if not _is_part(name):
            return name in self._sound
        known_at = self._sound_parts.get(name)
        return known_at is not None and at - known_at < SOUND_PART_TTL_S

    def unsent(self, update_filter: UpdateFilter) -> LedgerUpdate:
        """The changes that a peer hasn't been sent."""
        runs = tuple(
            record.run
            for record in self._records()
            if update_filter.includes(record.version, record.source)
        )
        sound = tuple(
            name
            for name, (version, source) in self._cleared.items()
            if update_filter.includes(version, source)
        )
        return LedgerUpdate(runs, sound)

    def forget(self, now: float) -> None:
        """Drop lost runs older than :data:`RETENTION_S`."""
        old = [
            record.run
            for record in self._records()
            if now - record.run.lost_at > RETENTION_S
        ]
        for run in old:
            self._drop(run)
        self._update_quarantine()

    def lost_runs(self, fingerprint: str) -> tuple[LostRun, ...]:
        """The lost runs of a suspect."""
        records = self._runs.get(fingerprint, {}).values()
        return tuple(record.run for record in records)

    def has_local_lost_run(self, fingerprint: str) -> bool:
        """Whether a run of the suspect was lost at this process."""
        records = self._runs.get(fingerprint, {}).values()
        return any(not record.source for record in records)

    @property
    def is_empty(self) -> bool:
        """Whether there are no suspects."""
        return not self._runs

    @property
    def quarantined_count(self) -> int:
        """How many suspects are quarantined."""
        return len(self._quarantined)

    def _records(self) -> Iterator[_Record]:
        for records in self._runs.values():
            yield from records.values()

    def _holds(self, record: _Record) -> bool:
        records = self._runs.get(record.run.fingerprint, {})
        return records.get(record.run.incarnation) is record

    def _drop(self, run: LostRun) -> None:
        records = self._runs[run.fingerprint]
        del records[run.incarnation]
        if not records:
            del self._runs[run.fingerprint]

    def _clear(self, name: str, source: str) -> None:
        self.version += 1
        self._cleared[name] = (self.version, source)
        self._cleared.move_to_end(name)
        if len(self._cleared) > MAX_REQUESTS:
            self._cleared.popitem(last=False)

    def _evict_least_suspicious(self) -> None:
        if len(self._runs) <= MAX_REQUESTS:
            return
        least = min(
            self._runs,
            key=lambda name: (
                name in self._quarantined,
                len(self._runs[name]),
                self._last_lost_at(name),
            ),
        )
        del self._runs[least]

    def _last_lost_at(self, name: str) -> float:
        return max(record.run.lost_at for record in self._runs[name].values())

    def _weighted_count(self, name: str, *verdicts: CrashVerdict) -> float:
        """The weighted number of lost runs with these verdicts that no quarantined
        suspect explains."""
        own = name in self._quarantined
        return sum(
            record.run.weight
            for incarnation, record in self._runs.get(name, {}).items()
            if record.verdict in verdicts
            and (own or incarnation not in self._explained)
        )

    def _update_quarantine(self) -> None:
        """Recompute which suspects are quarantined, the most suspicious first.

        All are recomputed each time, so that a request that was quarantined because of
        another's crashes is released once the other one has crashed further backend
        servers.
        """
        self._quarantined, self._explained = {}, set()
        suspects = []
        for name in self._runs:
            crashes = self._weighted_count(name, CrashVerdict.CRASHED)
            if crashes >= QUARANTINE_CRASHES:
                # Of two with the same number of crashes, take the one with the latest
                # crash: the other may not have run any more by then.
                last_at = self._last_lost_at(name)
                suspects.append((-crashes, _is_part(name), -last_at, name))
        heapq.heapify(suspects)
        while suspects:
            before, is_part, last_at, name = heapq.heappop(suspects)
            crashes = self._weighted_count(name, CrashVerdict.CRASHED)
            if crashes < QUARANTINE_CRASHES:
                continue
            if crashes < -before:
                heapq.heappush(suspects, (-crashes, is_part, last_at, name))
                continue
            self._quarantined[name] = crashes
            self._explained |= {
                incarnation
                for incarnation, record in self._runs[name].items()
                if record.verdict is CrashVerdict.CRASHED
            }

    def _stagger_step(self, name: str) -> int:
        """How many other suspects that share a crash with this one run before it."""
        own = self._runs[name].keys() - self._explained
        before = sum(
            other < name
            and not own.isdisjoint(records)
            and other not in self._quarantined
            and self._weighted_count(
                other, CrashVerdict.CRASHED, CrashVerdict.UNDECIDED
            )
            >= SUSPECT_CRASHES
            for other, records in self._runs.items()
        )
        return min(before, MAX_STAGGER_STEPS - 1)

    def _quarantined_request(self, name: str) -> QuarantinedRequest:
        backends = {incarnation.instance for incarnation in self._runs[name]}
        return QuarantinedRequest(
            name, self._quarantined[name], tuple(sorted(backends))
        )


def _is_part(name: str) -> bool:
    return name.startswith(PART_PREFIX)
