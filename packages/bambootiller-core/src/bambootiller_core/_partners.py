"""With whom a process gossips next."""

from __future__ import annotations

import random
from collections.abc import Sequence

from bambootiller_core._gossip_types import GossipConfig
from bambootiller_core.documents import watchers
from bambootiller_core.membership import Membership
from bambootiller_core.types import Member


class Partners:
    """Chooses whom to push to, to compare with and to ask for everything."""

    def __init__(
        self, membership: Membership, rng: random.Random, cfg: GossipConfig
    ) -> None:
        self._membership = membership
        self._rng = rng
        self._cfg = cfg
        self._targets: list[str] = []

    def to_push(self, peers: Sequence[Member]) -> list[Member]:
        """The next few peers, in shuffled rounds.

        Drawn anew each time, some peers would be sent a change twice and others never;
        in rounds its sends go to as many different peers as there are.
        """
        known = {peer.instance: peer for peer in peers}
        count = min(self._cfg.fanout, len(known))
        self._targets = [name for name in self._targets if name in known]
        if len(self._targets) < count:
            rest = sorted(set(known) - set(self._targets))
            self._rng.shuffle(rest)
            self._targets += rest
        chosen, self._targets = self._targets[:count], self._targets[count:]
        return [known[name] for name in chosen]

    def likely_complete(self) -> list[Member]:
        """Half of the time the watchers of the own zone, which know first."""
        if self._rng.random() < 0.5:
            return []
        zone = self._membership.me.zone
        members = {m.instance: m for m in self._membership.others() if m.zone == zone}
        chosen = watchers(zone, members, self._cfg.watchers_per_zone)
        return [members[name] for name in chosen]

    def to_compare(self) -> Member | None:
        """A random member, mostly of the own region."""
        others = self._membership.others()
        region = self._membership.me.region
        near = [member for member in others if member.region == region]
        stay = near and self._rng.random() < self._cfg.compare_near
        pool = near if stay else others
        return self._rng.choice(pool) if pool else None
