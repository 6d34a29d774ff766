"""The table of members that one process holds, with its digest and its listeners."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from bambootiller_core import _peerset
from bambootiller_core._statements import Statement, Status, fingerprint
from bambootiller_core.types import Member, Role


@dataclass(frozen=True, slots=True)
class MemberView:
    """A member as this process sees it now."""

    member: Member
    status: Status


Listener = Callable[[MemberView], None]


@dataclass(slots=True)
class Entry:
    """What is held of one other member.

    ``dies_at`` is when a suspicion becomes a death, or infinity. ``quiet`` marks a
    death that was decided while this process heard from nobody; it isn't told to
    others. ``renewed`` marks a suspicion that began anew after a pause of this process.
    """

    statement: Statement
    since: float
    dies_at: float = math.inf
    quiet: bool = False
    renewed: bool = False

    @property
    def member(self) -> Member:
        """The member as last stated."""
        return self.statement.member

    @property
    def status(self) -> Status:
        """The status as last stated."""
        return self.statement.status


class MemberTable:
    """This process's own statement, and an :class:`Entry` for each other member."""

    def __init__(self, own: Statement, sizes: _peerset.PeerSetSizes) -> None:
        self.own = own
        self.digest = fingerprint(own)
        self.quiet: set[str] = set()
        self._sizes = sizes
        self._dead = 0
        self._not_alive: set[str] = set()
        # Routing asks for the views with each request, and they seldom change.
        self._views: dict[Role | None, tuple[MemberView, ...]] = {}
        self._entries: dict[str, Entry] = {}
        self._peer_names: tuple[str, ...] | None = None
        self._peers: tuple[Member, ...] | None = None
        self._listed_leaving: frozenset[str] = frozenset()
        self._listeners: list[Listener] = []

    def __contains__(self, instance: str) -> bool:
        return instance in self._entries

    def __iter__(self) -> Iterator[Entry]:
        return iter(tuple(self._entries.values()))

    def get(self, instance: str) -> Entry | None:
        """The entry of another member, or None."""
        return self._entries.get(instance)

    def not_alive(self) -> list[Entry]:
        """The entries that are suspected, leaving or dead; few in a healthy fleet."""
        return [self._entries[name] for name in sorted(self._not_alive)]

    def unmet(self, listed: Member) -> bool:
        """Whether a listed process is unknown, or dead and now at another address."""
        me = self.own.member
        if listed.instance == me.instance or listed.address == me.address:
            return False
        entry = self.get(listed.instance)
        if entry is None:
            here = (one for one in self if one.status is not Status.DEAD)
            return all(one.member.address != listed.address for one in here)
        return entry.status is Status.DEAD and entry.member.address != listed.address

    def suspected(self) -> list[Entry]:
        """The entries that die unless they are heard of in time."""
        return [entry for entry in self.not_alive() if entry.dies_at < math.inf]

    def views(self, role: Role | None) -> tuple[MemberView, ...]:
        """All members of a role, this process included, by instance."""
        views = self._views.get(role)
        if views is None:
            views = self._views[role] = self._make_views(role)
        return views

    def view(self, instance: str) -> MemberView | None:
        """The view of one member, this process included."""
        if instance == self.own.instance:
            return MemberView(self.own.member, self.own.status)
        entry = self._entries.get(instance)
        return self.view_of(entry) if entry is not None else None

    def view_of(self, entry: Entry) -> MemberView:
        """The view of an entry; the platform's word that it is leaving counts."""
        status = entry.status
        here = status in (Status.ALIVE, Status.SUSPECT)
        if here and entry.member.instance in self._listed_leaving:
            status = Status.LEAVING
        return MemberView(entry.member, status)

    def alive_count(self) -> int:
        """How many members aren't dead, this process included."""
        return 1 + len(self._entries) - self._dead

    def peers(self) -> tuple[Member, ...]:
        """The bounded set of peers, chosen anew after members came or died."""
        if self._peers is None:
            if self._peer_names is None:
                self._peer_names = self._choose_peers()
            self._peers = tuple(self._entries[name].member for name in self._peer_names)
        return self._peers

    def hold(self, now: float, new: Statement, quiet: bool = False) -> Entry:
        """Hold ``new`` in place of what was held of that member, and tell listeners."""
        entry = self._entries.get(new.instance)
        if entry is None:
            entry = self._entries[new.instance] = Entry(new, now)
            self._peer_names = None
        else:
            self.digest ^= fingerprint(entry.statement)
            if self._changes_peers(entry, new):
                self._peer_names = None
            self._dead -= entry.status is Status.DEAD
        self.digest ^= fingerprint(new)
        self._dead += new.status is Status.DEAD
        entry.statement, entry.since = new, now
        entry.dies_at = math.inf
        entry.renewed = False
        self._peers = None
        self._views.clear()
        self._mark(self._not_alive, entry, new.status is not Status.ALIVE)
        entry.quiet = quiet
        self._mark(self.quiet, entry, quiet)
        self._notify(entry)
        return entry

    def _changes_peers(self, entry: Entry, new: Statement) -> bool:
        """Whether the peers have to be chosen anew because of a statement.

        The death of a member that is no peer leaves the choice as it is, since the
        others rank as before. When a zone is lost, hundreds die within seconds, and
        ranking thousands of members for each would take a process seconds.
        """
        if new.status is Status.DEAD:
            return self._peer_names is None or new.instance in self._peer_names
        return entry.status is Status.DEAD

    def drop(self, instance: str) -> None:
        """Forget a dead member."""
        self._dead -= self._entries.pop(instance).status is Status.DEAD
        self.quiet.discard(instance)
        self._not_alive.discard(instance)
        self._views.clear()

    def state_own(self, own: Statement) -> None:
        """Change the statement about this process."""
        self.digest ^= fingerprint(self.own) ^ fingerprint(own)
        self.own = own
        self._views.clear()

    def set_listed_leaving(self, leaving: Iterable[str]) -> None:
        """Take over which members the platform lists as leaving."""
        before, self._listed_leaving = self._listed_leaving, frozenset(leaving)
        if before == self._listed_leaving:
            return
        self._views.clear()
        for name in sorted(before ^ self._listed_leaving):
            if name in self._entries:
                self._notify(self._entries[name])

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` with each view that changes."""
        self._listeners.append(listener)

    def _make_views(self, role: Role | None) -> tuple[MemberView, ...]:
        views = [MemberView(self.own.member, self.own.status)]
        views += [self.view_of(entry) for entry in self]
        wanted = [view for view in views if role is None or view.member.role is role]
        return tuple(sorted(wanted, key=lambda view: view.member.instance))

    def _choose_peers(self) -> tuple[str, ...]:
        known = [entry.member for entry in self if entry.status is not Status.DEAD]
        return _peerset.choose(self.own.member, known, self._sizes)

    def _mark(self, names: set[str], entry: Entry, marked: bool) -> None:
        if marked:
            names.add(entry.member.instance)
        else:
            names.discard(entry.member.instance)

    def _notify(self, entry: Entry) -> None:
        view = self.view_of(entry)
        for listener in tuple(self._listeners):
            listener(view)
