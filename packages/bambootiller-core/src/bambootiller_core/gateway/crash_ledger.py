"""Which requests end the backend servers that run them, and which parts of prompts.

Such a request takes down one backend server with each try, and with it every other run
there. It is kept from further ones after its third crash: a circuit breaker for one
request. Where a part of the prompt is what does it, the requests that have it differ;
so each part that others may share is a suspect beside the whole request. The ledger
holds runs that were lost, by the names of their suspects, from all entries; what ended
a backend server can't be seen, so it has to be told from those that only ran beside it:

- A request of which a run has completed is sound, whatever it was at; and so are the
  parts of its prompt, for as long as completions go on.
- A lost run counts as a crash only if that start of the backend server ended with it,
  and for half if an event had come from it: a request that ends whatever begins to run
  it gets no further.
- Crashes at which a quarantined request was count against no other. Of a request and a
  part that were at the same ones, the request is quarantined: fewer are kept out by it.
- Of two parts that were at the same crashes either may be the cause. A request that has
  one of them alone still runs, and tells which it is.
- Requests that share crashes are run again one after the other (:data:`STAGGER_S`), so
  that the next crash tells them apart.

Each process decides for itself on the same records; no two have to agree.
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
MOST_CRASHES = 3.0
#: From this many on its runs are kept apart from those of others like it.
SUSPECT_CRASHES = 2.0
#: What a crash counts whose run had brought an event.
PROGRESSED_WEIGHT = 0.5
#: How long a request is quarantined after its last crash. Seconds; then it may have
#: been mended, or the backend servers.
QUARANTINE_S = 600.0
#: Lost runs are forgotten after this time. Seconds.
RETENTION_S = 3600.0
#: Requests that share crashes begin this far apart: about what a run takes to end its
#: backend server, and the others to hear of it. Seconds.
STAGGER_S = 0.3
#: Further ones share the last turn, so that none waits longer than its caller.
MAX_STAGGER_STEPS = 8
#: How soon to look again at a request whose last crash isn't settled. Seconds.
RECHECK_S = 0.05
#: What became of a backend server is final this long after the run was lost. Seconds;
#: longer than one is down, or an agent that asks it in vain is patient.
VERDICT_FINAL_S = 20.0
#: Requests of which lost runs are kept. The least suspicious are forgotten first.
MAX_REQUESTS = 1024
#: Requests known to be sound, and as many parts, from the latest completions.
MAX_SOUND = 4096
#: A part is taken for sound so long after a request with it has completed. Seconds; it
#: may end what runs it after a change of the weights.
SOUND_PART_TTL_S = 60.0
#: What stands before the id of a part in its name.
PART_PREFIX = "part "


def part_name(part: str) -> str:
    """The name of a part of a prompt as a suspect."""
    return PART_PREFIX + part


class CrashVerdict(enum.Enum):
    """What became of the backend server after a run there was lost."""

    UNDECIDED = "open"
    CRASHED = "crashed"
    SURVIVED = "survived"


@dataclass(frozen=True, slots=True)
class LostRun:
    """A run that ended without an answer; ``progressed`` is whether an event of it had
    come. ``lost_at`` is in seconds on this process's monotonic clock."""

    fingerprint: str
    incarnation: Incarnation
    progressed: bool
    lost_at: float

    @property
    def weight(self) -> float:
        """How much it counts if the backend server ended with it."""
        return PROGRESSED_WEIGHT if self.progressed else 1.0


class AdmissionDecision(enum.Enum):
    """Whether a request may run now."""

    ADMITTED = "admitted"
    DEFERRED = "waits"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True)
class Admission:
    """Whether a request may run, and in how many seconds to ask again if not.
    ``crashes`` is how many count against the suspect ``name``, unsettled ones
    included."""

    decision: AdmissionDecision
    retry_in_s: float = 0.0
    crashes: float = 0.0
    name: str = ""

    @property
    def severity(self) -> tuple[int, float]:
        """Of several, the one with the greatest decides."""
        order = (
            AdmissionDecision.ADMITTED,
            AdmissionDecision.DEFERRED,
            AdmissionDecision.QUARANTINED,
        )
        return order.index(self.decision), self.retry_in_s


ADMITTED = Admission(AdmissionDecision.ADMITTED)


@dataclass(frozen=True, slots=True)
class QuarantinedRequest:
    """A request that is kept from all backend servers from now on."""

    fingerprint: str
    crashes: float
    backends: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class LedgerUpdate:
    """What the ledger has learnt: lost runs, and requests found sound."""

    runs: tuple[LostRun, ...]
    sound: tuple[str, ...]


@dataclass(slots=True)
class _Record:
    run: LostRun
    version: int
    source: str
    verdict: CrashVerdict = CrashVerdict.UNDECIDED


class CrashLedger:
    """Lost runs by request, and what they say of each.

    ``source`` is the peer that told of something, empty for what was seen here.

    Example::

        ledger.run_lost(LostRun(fingerprint, incarnation, False, now))
        ledger.settle(now, lambda run, before: CrashVerdict.CRASHED)
        if ledger.admission(now, fingerprint).standing is AdmissionDecision.QUARANTINED: ...
    """

    def __init__(self) -> None:
        self._runs: dict[str, dict[Incarnation, _Record]] = {}
        #: Sound requests, and sound parts, by when that was known.
        self._sound: OrderedDict[str, float] = OrderedDict()
        self._sound_parts: OrderedDict[str, float] = OrderedDict()
        #: Sound requests that others may suspect, with the version and the source.
        self._cleared: OrderedDict[str, tuple[int, str]] = OrderedDict()
        #: Those of which it may still show what became of the backend server.
        self._watched: list[_Record] = []
        self._quarantined: dict[str, float] = {}
        self._explained: set[Incarnation] = set()
        #: How many changes there have been that others may have to hear of.
        self.version = 0

    def run_lost(self, run: LostRun, source: str = "") -> bool:
        """A run ended without an answer; returns whether that is news."""
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
        self._watched.append(record)
        self._evict_least_suspicious()
        return True

    def completed(self, fingerprint: str, source: str = "", now: float = 0.0) -> int:
        """A run of the request was answered whole; returns how many lost runs that
        explains."""
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
        """Look again at what became of backend servers, given what was thought of them
        until now; returns the requests that are quarantined from now on."""
        changed = False
        watched, self._watched = self._watched, []
        for record in watched:
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
                self._watched.append(record)
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
        if crashes >= MOST_CRASHES and self._weighted_count(
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
        """Whether a part that the request doesn't have was at all crashes of the
        quarantined one, so that a run of the request tells which of both it is."""
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
        """How much each crash counts at which the suspect was."""
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
        """What has been learnt that a peer hasn't been told."""
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
        """Drop lost runs past their time."""
        old = [
            record.run
            for record in self._records()
            if now - record.run.lost_at > RETENTION_S
        ]
        for run in old:
            self._drop(run)
        self._update_quarantine()

    def lost_runs(self, fingerprint: str) -> tuple[LostRun, ...]:
        """The lost runs of a request."""
        records = self._runs.get(fingerprint, {}).values()
        return tuple(record.run for record in records)

    def has_local_lost_run(self, fingerprint: str) -> bool:
        """Whether a run of the request was lost here."""
        records = self._runs.get(fingerprint, {}).values()
        return any(not record.source for record in records)

    @property
    def is_empty(self) -> bool:
        """Whether no request is suspected of anything."""
        return not self._runs

    @property
    def quarantined_count(self) -> int:
        """How many requests have been quarantined."""
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
        """How much the crashes that nobody else explains count."""
        own = name in self._quarantined
        return sum(
            record.run.weight
            for incarnation, record in self._runs.get(name, {}).items()
            if record.verdict in verdicts
            and (own or incarnation not in self._explained)
        )

    def _update_quarantine(self) -> None:
        """Find anew whom the crashes count against, the most suspicious first.

        From the start each time: a request that was quarantined for what another did
        is freed when that one has gone on.
        """
        self._quarantined, self._explained = {}, set()
        suspects = []
        for name in self._runs:
            crashes = self._weighted_count(name, CrashVerdict.CRASHED)
            if crashes >= MOST_CRASHES:
                # Of two that were at as many, the one that was at the latest: the other
                # may have been kept from it.
                last_at = self._last_lost_at(name)
                suspects.append((-crashes, _is_part(name), -last_at, name))
        heapq.heapify(suspects)
        while suspects:
            before, is_part, last_at, name = heapq.heappop(suspects)
            crashes = self._weighted_count(name, CrashVerdict.CRASHED)
            if crashes < MOST_CRASHES:
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
        """How many others that share a crash with the request go before it."""
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
