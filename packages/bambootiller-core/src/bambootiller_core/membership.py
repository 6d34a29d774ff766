"""Membership: who is there, decided by direct evidence, in the manner of SWIM.

Each process probes one peer a period, in shuffled rounds. A peer that doesn't answer is
probed through a few others; if that fails too it is suspected, and all hear of it. The
suspected member refutes by raising its incarnation, else it is dead after a timeout
that grows with the logarithm of the fleet. A process that stops says that it is
leaving.

This evidence and the platform's instance list may disagree. For routing, evidence wins:
a member that doesn't answer is dead here while the list still shows it, and one that
answers stays alive although the list lacks it. The list names processes that nobody
here has met yet, and those that the platform is about to take away. Whether a backend
server is gone for good is another question, which only the list answers (``is_gone``).

Nothing here sends: :meth:`Membership.tick` and the events return the probes to carry
out, :mod:`bambootiller_core.gossip` passes the statements on.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable
from dataclasses import replace

from bambootiller_core._candidates import Candidates
from bambootiller_core._health import LocalHealth
from bambootiller_core._member_table import Entry, Listener, MemberTable, MemberView
from bambootiller_core._membership_config import MembershipConfig
from bambootiller_core._peerset import PeerSetSizes
from bambootiller_core._probing import (
    Probe,
    ProbeEffect,
    ProbeRound,
    ProbesUnderWay,
    ProbeThrough,
)
from bambootiller_core._refutations import Refutations
from bambootiller_core._statements import (
    Statement,
    Status,
    raised,
    supersedes,
    with_status,
)
from bambootiller_core._targets import Targets
from bambootiller_core.types import Member, Role

__all__ = [
    "Membership",
    "MembershipConfig",
    "MemberView",
    "PeerSetSizes",
    "Probe",
    "ProbeEffect",
    "ProbeThrough",
    "Statement",
    "Status",
    "supersedes",
]

EXPIRIES_PER_INTERVAL = 5
#: How many times the time of a suspicion the suspect's own words may stretch it to. Two
#: further probes fall into it even in a process whose health doubles its intervals.
SUSPICIONS_FOR_WORDS = 3


class Membership:
    """The members known to one process, itself included.

    ``on_news`` is called with each statement that is new here, to be passed on.

    Example::

        membership = Membership(me, random.Random(1))
        membership.merge(now, [Statement(other, Status.ALIVE)])
        membership.tick(now)                 # [Probe(number=1, member=other, ...)]
        membership.probe_failed(now, 1)      # [ProbeThrough(...)], or a suspicion
        membership.status_of("i-2")          # Status.SUSPECT
    """

    def __init__(
        self, me: Member, rng: random.Random, cfg: MembershipConfig | None = None
    ) -> None:
        self.cfg = cfg or MembershipConfig()
        self.health = LocalHealth(
            self.cfg.late_periods * self.cfg.probe_interval,
            self.cfg.pause_periods * self.cfg.probe_interval,
            self.cfg.silence_periods * self.cfg.probe_interval,
        )
        self.on_news: Callable[[Statement], None] = lambda statement: None
        self._rng = rng
        self._table = MemberTable(Statement(me, Status.ALIVE), self.cfg.sizes)
        self._candidates = Candidates(rng)
        self._round = ProbeRound(rng)
        self._targets = Targets(self._table, self._round, rng, self.cfg.helpers)
        self._under_way = ProbesUnderWay()
        self._probe_due = 0.0
        self._dead_due = 0.0
        self._expiry_due = 0.0
        self._refutations = Refutations(self.cfg.probe_interval)

    @property
    def me(self) -> Member:
        """This process, at its present incarnation."""
        return self._table.own.member

    @property
    def own(self) -> Statement:
        """This process's statement about itself."""
        return self._table.own

    def members(self, role: Role | None = None) -> tuple[MemberView, ...]:
        """All members known, this process and the dead included, by instance."""
        return self._table.views(role)

    def view(self, instance: str) -> MemberView | None:
        """The member of that instance, or None if it isn't known."""
        return self._table.view(instance)

    def status_of(self, instance: str) -> Status | None:
        """How a member stands, or None if it isn't known."""
        view = self._table.view(instance)
        return view.status if view is not None else None

    def peers(self) -> tuple[Member, ...]:
        """The bounded set of members that this process probes and gossips with."""
        return self._table.peers()

    def others(self) -> tuple[Member, ...]:
        """All other members that aren't dead."""
        entries = (entry for entry in self._table if entry.status is not Status.DEAD)
        return tuple(entry.member for entry in entries)

    def alive_count(self) -> int:
        """How many members aren't dead, this process included."""
        return self._table.alive_count()

    def candidates(self) -> tuple[Member, ...]:
        """Listed processes that haven't been met yet."""
        return self._candidates.all()

    def statement_of(self, instance: str) -> Statement | None:
        """What is told to others about ``instance``; None if nothing is."""
        if instance == self.me.instance:
            return self.own
        entry = self._table.get(instance)
        return entry.statement if entry and not entry.quiet else None

    def statements(self) -> tuple[Statement, ...]:
        """Everything that is told to a process that knows nothing."""
        told = (entry.statement for entry in self._table if not entry.quiet)
        return (self.own, *told)

    def digest(self) -> int:
        """64 bits over all members that aren't dead; equal where the views are."""
        return self._table.digest

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` with each :class:`MemberView` that changes."""
        self._table.subscribe(listener)

    def merge(self, now: float, statements: Iterable[Statement]) -> list[Statement]:
        """Take over another process's statements; return those that were new."""
        self._hear(now)
        return [statement for statement in statements if self._merge(now, statement)]

    def heard_from(self, now: float, instance: str) -> None:
        """A message of ``instance`` itself came: if it is suspected, it isn't dead.

        What goes wrong: a member runs in slices, and its own words arrive while the
        suspicion of it hasn't reached it yet; it would die here with the next pause.
        Each word gives it time anew, up to a bound, since one that can send but not
        hear is of no use either.
        """
        entry = self._table.get(instance)
        if entry is None or entry.dies_at == math.inf:
            return
        self._round.tell(instance)
        latest = entry.since + SUSPICIONS_FOR_WORDS * self._suspicion()
        entry.dies_at = max(entry.dies_at, min(latest, now + self._suspicion()))

    def locate(self, address: str) -> None:
        """Set this process's own address, before anything has been said to others."""
        self._table.state_own(
            Statement(replace(self.me, address=address), Status.ALIVE)
        )

    def leave(self) -> Statement:
        """Say that this process is stopping; not to be taken back in its life."""
        if self.own.status is not Status.LEAVING:
            member = raised(self.me, self.me.incarnation + 1)
            self._state_own(Statement(member, Status.LEAVING))
        return self.own

    def listed(self, members: Iterable[Member], leaving: Iterable[str]) -> None:
        """Take over an answer of the instance list.

        Its members carry no incarnation. One that isn't known is a candidate: it is
        probed, and becomes a member by its own answer, because the list also shows
        processes that don't run yet or no longer.
        """
        self._candidates.replace(
            member for member in members if self._table.unmet(member)
        )
        self._table.set_listed_leaving(leaving)

    def probe_soon(self, instance: str) -> None:
        """Probe a member next, because a call to it failed elsewhere in the process."""
        if instance in self._table:
            self._round.hurry(instance)

    def tick(self, now: float) -> list[ProbeEffect]:
        """Advance the time; call it several times in each probe interval."""
        self._note_pause(now)
        accusation = self._refutations.due(now)
        if accusation is not None:
            self._refute(now, accusation)
        if now >= self._expiry_due:
            self._expiry_due = now + self.cfg.probe_interval / EXPIRIES_PER_INTERVAL
            self._expire(now)
        effects = self._direct_all(self._targets.accused())
        if now >= self._probe_due:
            self._probe_due = now + self.cfg.probe_interval * self.health.factor
            effects += self._probes()
        if now >= self._dead_due:
            jitter = self._rng.uniform(0.75, 1.25)
            self._dead_due = now + self.cfg.retry_dead * jitter
            effects += self._direct_all(self._targets.dead_one())
        return effects

    def probe_answered(self, now: float, number: int) -> None:
        """The member answered the probe, to this process or to a helper."""
        self._note_pause(now)
        self._hear(now)
        instance = self._under_way.finish(number)
        if instance is None:
            return
        self.health.better()
        entry = self._table.get(instance)
        if entry is not None and entry.dies_at < math.inf:
            leaving = entry.status is Status.LEAVING
            entry.dies_at = math.inf if leaving else now + self._suspicion()

    def probe_failed(self, now: float, number: int) -> list[ProbeEffect]:
        """A direct probe wasn't answered in time; returns the indirect one, if any."""
        target = self._failed_target(now, number)
        if target is None or target.status is Status.DEAD:
            return []
        helpers = self._targets.helpers(target.member.instance)
        if helpers:
            timeout = self._timeout(2)
            probe = self._under_way.start(target.member.instance, timeout)
            return [ProbeThrough(probe, target.member, helpers, timeout)]
        self._suspect(now, target)
        return []

    def indirect_failed(self, now: float, number: int, helpers_answered: int) -> None:
        """No helper reached the member; if none answered, the fault may be here."""
        target = self._failed_target(now, number)
        if target is None:
            return
        if helpers_answered == 0:
            self.health.worse()
        self._suspect(now, target)

    def _merge(self, now: float, new: Statement) -> bool:
        if new.instance == self.me.instance:
            self._refute(now, new)
            return False
        entry = self._table.get(new.instance)
        if entry is not None and not supersedes(new, entry.statement):
            return False
        # A death that arrives after the member was forgotten tells nothing.
        if entry is None and new.status is Status.DEAD:
            return False
        self._hold(now, new)
        return True

    def _hold(self, now: float, new: Statement, quiet: bool = False) -> None:
        held = self._table.get(new.instance)
        if held is None or new.incarnation > held.statement.incarnation:
            self._under_way.disregard_of(new.instance)
        entry = self._table.hold(now, new, quiet)
        self._candidates.met(new.member)
        if new.status is Status.SUSPECT:
            entry.dies_at = now + self._suspicion()
        if not quiet:
            self.on_news(new)

    def _state_own(self, own: Statement) -> None:
        self._table.state_own(own)
        self.on_news(own)

    def _refute(self, now: float, new: Statement) -> None:
        """Raise the own incarnation above a statement that isn't this process's own.

        That is a suspicion or a death, or the trace of an earlier process of the same
        instance.
        """
        same_place = new.member.address == self.me.address
        if same_place and not supersedes(new, self.own):
            return
        if new.incarnation < self.me.incarnation:
            return
        if not self._refutations.passes(now, new):
            return
        if new.status in (Status.SUSPECT, Status.DEAD):
            self.health.worse()
        member = raised(self.me, new.incarnation + 1)
        self._state_own(Statement(member, self.own.status))

    def _note_pause(self, now: float) -> None:
        """After a pause, judge nobody by what happened, or didn't, during it.

        What goes wrong: a process is frozen for a minute. On its return every probe
        that was under way has timed out and every suspicion's time is over, so it would
        call the fleet dead although only it was absent. It notices by the gap between
        its ticks. Probes of before don't count, and suspicions start anew, so that each
        member gets a fresh probe first.

        The like happens in small when it is short of processor time and runs in slices.
        Probes count that had time while it ran. A suspicion begins anew once, then it
        lasts as much longer as the process was absent; beginning anew each time, it
        would never be over as long as the process is starved.
        """
        absence = self.health.ticked(now)
        if absence is None:
            return
        for name in self._under_way.disregard(absence.seconds):
            self._probe_due = now
            self._round.hurry(name)
        for entry in self._table.suspected():
            if absence.paused and not entry.renewed:
                entry.renewed = True
                entry.dies_at = now + self._suspicion()
                self._round.hurry(entry.member.instance)
            else:
                entry.dies_at += absence.seconds

    def _hear(self, now: float) -> None:
        """Note that somebody is there; take back what was decided in solitude."""
        self.health.heard(now)
        for name in sorted(self._table.quiet):
            entry = self._table.get(name)
            self._table.hold(now, with_status(entry.statement, Status.ALIVE))
            self._round.hurry(name)

    def _expire(self, now: float) -> None:
        """Turn suspicions whose time is over into deaths, and forget old deaths.

        What goes wrong: a process whose link is cut sees everybody die, and on its
        return tells everybody so. While it hears from nobody, its deaths are therefore
        quiet: its routing uses them, but they are not passed on, and the first word
        from anybody takes them back.
        """
        forgotten = now - self.cfg.forget_dead
        for entry in self._table.not_alive():
            if entry.dies_at <= now:
                quiet = self.health.cut_off(now)
                self._hold(now, with_status(entry.statement, Status.DEAD), quiet)
            elif entry.status is Status.DEAD and entry.since < forgotten:
                self._table.drop(entry.member.instance)

    def _suspect(self, now: float, entry: Entry) -> None:
        if entry.status is Status.DEAD or entry.dies_at < math.inf:
            return
        if entry.status is Status.ALIVE:
            self._hold(now, with_status(entry.statement, Status.SUSPECT))
            self._round.tell(entry.member.instance)
        # A leaving member keeps that status, for routers, until it is dead.
        entry.dies_at = now + self._suspicion() * self.health.factor

    def _suspicion(self) -> float:
        size = max(1.0, math.log10(self.alive_count() + 1))
        return self.cfg.suspicion_periods * self.cfg.probe_interval * size

    def _timeout(self, hops: int) -> float:
        return self.cfg.probe_timeout * hops * self.health.factor

    def _failed_target(self, now: float, number: int) -> Entry | None:
        """Whom a failure is evidence about; None after a pause of this process."""
        self._note_pause(now)
        instance = self._under_way.finish(number)
        return self._table.get(instance) if instance is not None else None

    def _direct(self, member: Member) -> Probe:
        timeout = self._timeout(1)
        number = self._under_way.start(member.instance, timeout)
        return Probe(number, member, timeout)

    def _probes(self) -> list[ProbeEffect]:
        """One member of the round, and one candidate that hasn't been met."""
        return self._direct_all(self._targets.of_round(), self._candidates.draw())

    def _direct_all(self, *targets: Member | None) -> list[ProbeEffect]:
        return [self._direct(target) for target in targets if target is not None]
