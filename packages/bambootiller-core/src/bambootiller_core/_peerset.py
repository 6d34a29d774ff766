"""Which peers a process probes and gossips with: a bounded set, whatever the fleet's
size.

Connections and their memory would otherwise grow with the fleet. The set has two parts:

* The next few members on a ring ordered by hash. Every member is so probed by as many
  others as there are ring neighbours, even if nobody's random choice falls on it.
* Members chosen by rendezvous hashing under this process's own name, most of them in
  its own region. These links make the graph of all processes a random one, in which a
  change reaches everybody in a number of hops that grows with the logarithm of the
  fleet; on the ring alone it would grow with the fleet.

Both follow from names only, so the set stays as it is while the members do.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from bambootiller_core import rendezvous
from bambootiller_core.types import Member

_RING = "ring"


@dataclass(frozen=True, slots=True)
class PeerSetSizes:
    """How many peers come from the ring, from the own region and from the others."""

    ring: int = 4
    near: int = 9
    far: int = 3


def choose(
    me: Member, others: Iterable[Member], sizes: PeerSetSizes
) -> tuple[str, ...]:
    """The instances of this process's peers, sorted; all of them in a small fleet."""
    others = [member for member in others if member.instance != me.instance]
    near = [member.instance for member in others if member.region == me.region]
    far = [member.instance for member in others if member.region != me.region]
    chosen = set(_successors(me.instance, near + far, sizes.ring))
    chosen.update(_ranked(me.instance, near, chosen)[: sizes.near])
    chosen.update(_ranked(me.instance, far, chosen)[: sizes.far])
    return tuple(sorted(chosen))


def _ranked(subject: str, names: list[str], taken: set[str]) -> list[str]:
    return rendezvous.ranked(subject, (name for name in names if name not in taken))


def _successors(me: str, names: list[str], count: int) -> list[str]:
    ring = sorted(names, key=lambda name: rendezvous.weight(_RING, name))
    mine = rendezvous.weight(_RING, me)
    after = [name for name in ring if rendezvous.weight(_RING, name) > mine]
    return (after + ring[: len(ring) - len(after)])[:count]
