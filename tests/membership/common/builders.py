"""Short ways to members, statements and lone processes."""

from __future__ import annotations

import random

from bambootiller_core.membership import (
    Membership,
    MembershipConfig,
    Probe,
    ProbeThrough,
    Statement,
    Status,
)
from bambootiller_core.types import Member, Role

CFG = MembershipConfig()
#: Longer than any suspicion of a small fleet, shorter than the memory of the dead.
LONG = 60.0


def member(name: str, incarnation: int = 1, *, zone: str = "az-1") -> Member:
    return Member(name, Role.AGENT, zone, "r1", f"127.0.0.1:{name}", incarnation)


def said(name: str, status: Status = Status.ALIVE, incarnation: int = 1) -> Statement:
    return Statement(member(name, incarnation), status)


def membership(*others: str, me: str = "me") -> Membership:
    """A process that knows ``others`` as alive, at time 0."""
    made = Membership(member(me), random.Random(1), CFG)
    made.tick(0.0)
    made.merge(0.0, [said(name) for name in others])
    return made


class Clock:
    """Lets a lone process live: its ticks, and the answers to its probes.

    ``silent`` instances answer no probe, direct or through others. Helpers answer
    unless they are silent themselves."""

    def __init__(self, process: Membership, silent: set[str] = frozenset()) -> None:
        self.process = process
        self.silent = set(silent)
        self.now = 0.0
        self.probed: list[str] = []

    def run(self, seconds: float, step: float = 0.25) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + step)
            for effect in self.process.tick(self.now):
                self._answer(effect)

    def _answer(self, effect: Probe | ProbeThrough) -> None:
        name = effect.member.instance
        if isinstance(effect, Probe):
            self.probed.append(name)
        if name not in self.silent:
            self.process.probe_answered(self.now, effect.number)
        elif isinstance(effect, Probe):
            for more in self.process.probe_failed(self.now, effect.number):
                self._answer(more)
        else:
            able = [one for one in effect.helpers if one.instance not in self.silent]
            self.process.indirect_failed(self.now, effect.number, len(able))
