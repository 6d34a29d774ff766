"""Gossip: how processes tell one another about members and documents.

:class:`Gossip` joins a :class:`Membership` and a :class:`Documents`. It makes the
messages for their probes, passes changes on, and finds by digests what was missed:

* A process that learns a change sends it at once to a few random peers of its bounded
  set, then again until it has sent it as often as the fleet's size asks for. Changes
  also ride on every probe and its answer.
* Small documents travel whole the first time; else the head does, and who lacks the
  document fetches it from the peer that told. A process passes a document's head on
  only once it holds the document, so fetches spread over the fleet.
* Each few seconds a process compares digests with one random member, mostly in its own
  region. A change that is under way makes digests differ for a moment. So a difference
  is first answered with the newest heads, then looked at again, and only if it is still
  there everything is compared. Full comparisons cost as much as the fleet is large and
  would otherwise follow each change.

Events return effects, which the shell carries out::

    for effect in gossip.tick(now):
        match effect:
            case Send(ticket, to, message, timeout): ...   # then on_reply or on_failed
            case FetchFrom(ticket, to, keys, timeout): ... # then on_fetched or
            on_failed
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Sequence

from bambootiller_core._fetching import Fetching
from bambootiller_core._gossip_types import (
    Effect,
    FetchFrom,
    GossipConfig,
    Handled,
    Message,
    Send,
)
from bambootiller_core._messages import Composer, telling
from bambootiller_core._outbox import Outbox
from bambootiller_core._partners import Partners
from bambootiller_core._tickets import (
    Compared,
    Fetched,
    Joined,
    ProbedDirectly,
    ProbedThrough,
    Pushed,
    Tickets,
)
from bambootiller_core.documents import Document, Documents, Head
from bambootiller_core.membership import (
    Membership,
    Probe,
    ProbeEffect,
    Statement,
    Status,
)
from bambootiller_core.types import Member

__all__ = ["FetchFrom", "Gossip", "GossipConfig", "Handled", "Message", "Send"]


class Gossip:
    """One process's part in the gossip; pure, like the two objects that it joins."""

    def __init__(
        self,
        membership: Membership,
        documents: Documents,
        rng: random.Random,
        cfg: GossipConfig | None = None,
    ) -> None:
        self.membership = membership
        self.documents = documents
        self.cfg = cfg or GossipConfig()
        self.full_exchanges = 0
        self._rng = rng
        self._outbox = Outbox()
        self._composer = Composer(membership, documents, self._outbox, self.cfg)
        self._tickets = Tickets()
        self._fetching = Fetching(documents, self.cfg)
        self._pushed_at = -math.inf
        self._partners = Partners(membership, rng, self.cfg)
        self._compare_due = 0.0
        self._join_due = 0.0
        self._join_gap = self.cfg.join_interval
        self._recheck: tuple[float, Member] | None = None
        self._joining = False
        self._own_word = False
        membership.on_news = self._note_statement
        documents.subscribe("", self._note_document)

    def tick(self, now: float) -> list[Effect]:
        """Advance the time; call it at least each ``cfg.push_interval``."""
        effects = self._carry_out(self.membership.tick(now))
        effects += self._join(now)
        effects += self._compare(now)
        return effects + self._push(now)

    def leave(self, now: float) -> list[Effect]:
        """Tell at once that this process is stopping."""
        self.membership.leave()
        return self._push(now)

    def adopt_read(
        self, now: float, prefix: str, found: Sequence[Document], revision: int
    ) -> list[Effect]:
        """Take over a full read of the key-value service, and pass on what was new."""
        self.documents.adopt_read(prefix, found, revision)
        return self._push(now)

    def offer(self, now: float, documents: Iterable[Document]) -> list[Effect]:
        """Take over documents from a watch, and pass on what was new."""
        for document in documents:
            self.documents.offer(document)
        return self._push(now)

    def on_request(self, now: float, message: Message) -> Handled:
        """Answer another process's message.

        The reply's changes are chosen before those of the request are taken over, and
        without what the request tells, else it would carry the sender's news back. Only
        what this process says of itself is put in afterwards: if the request told that
        it is suspected, the reply refutes it. A message without a sender is an
        operator's question, and no sign of the fleet.
        """
        if not message.sender:
            return Handled(self._composer.with_everything(self._composer.bare()), [])
        reply = self._composer.riding(message)
        effects = self._take_over(now, message)
        reply = self._composer.with_own(reply)
        reply = telling(reply, self._composer.correction(message))
        if message.full:
            reply = self._composer.with_everything(reply)
        elif message.compares:
            reply = self._composer.with_digests(reply)
            if message.documents_digest != reply.documents_digest:
                heads = self.documents.newest(self.cfg.newest_heads)
                reply = reply.with_heads(heads)
        return Handled(reply, effects + self._push(now))

    def on_fetch(self, keys: Sequence[str], everything: bool) -> tuple[Document, ...]:
        """The documents that another process asks for, up to a bound of bytes.

        Who gets less than asked for asks again for the rest.
        """
        held = self.documents.all() if everything else map(self.documents.get, keys)
        answer: list[Document] = []
        size = 0
        for document in held:
            if document is None:
                continue
            size += len(document.value)
            if answer and size > self.cfg.fetch_bytes:
                break
            answer.append(document)
        return tuple(answer)

    def on_reply(
        self, now: float, ticket: int, message: Message, probe_ok: bool = False
    ) -> list[Effect]:
        """The answer to a :class:`Send` came in time."""
        purpose = self._tickets.close(ticket)
        self._joining = isinstance(purpose, Joined)
        effects = self._take_over(now, message)
        self._joining = False
        match purpose:
            case ProbedDirectly() as probed:
                effects += self._probed(now, probed, message.sender)
            case ProbedThrough() as probed:
                effects += self._probed_through(now, probed, True, probe_ok)
            case Compared(member, again):
                effects += self._compared(now, member, again, message)
            case Joined():
                self._fetching.expect_all(message.heads)
        return effects + self._push(now)

    def on_failed(self, now: float, ticket: int) -> list[Effect]:
        """No answer to a :class:`Send` or :class:`FetchFrom` came in time."""
        match self._tickets.close(ticket):
            case ProbedDirectly() as probed:
                return self._probed(now, probed, answered_by="")
            case ProbedThrough() as probed:
                return self._probed_through(now, probed, False, False)
            case Fetched() as failed:
                return self._fetch_elsewhere(now, failed)
        return []

    def on_fetched(
        self, now: float, ticket: int, documents: Sequence[Document]
    ) -> list[Effect]:
        """The answer to a :class:`FetchFrom` came."""
        fetched = self._tickets.close(ticket)
        effects = self.offer(now, documents)
        if isinstance(fetched, Fetched) and self._fetching.end(fetched.heads):
            # The answer is bounded, so there may be a rest. An answer that brought
            # nothing isn't followed by another question: the peer may be behind.
            effects += self._fetch(now, fetched.member, fetched.heads)
        self._fetching.note_complete()
        return effects

    def ping(self, instance: str) -> Message:
        """The message of a probe that is carried out for another process."""
        return self._composer.ping(instance)

    def _note_statement(self, statement: Statement) -> None:
        """Pass on what is news to others.

        What a joining process is told of all members is news to nobody else. Passing it
        on, a process that joins thousands of others would send for minutes what they
        all know; one sees it by its traffic after each start.
        """
        if statement.instance == self.membership.me.instance:
            self._own_word = True
        if not self._joining:
            self._outbox.add(statement)

    def _note_document(self, document: Document) -> None:
        """The same for documents: until it has all of them, it only catches up."""
        if self.documents.complete:
            self._outbox.add(document)

    def _take_over(self, now: float, message: Message) -> list[Effect]:
        self.membership.merge(now, message.statements)
        self.membership.heard_from(now, message.sender)
        for document in message.documents:
            self.documents.offer(document)
        teller = self.membership.view(message.sender)
        effects = []
        if teller is not None and teller.status is not Status.DEAD:
            effects = self._fetch(now, teller.member, message.heads)
        self._fetching.note_complete()
        return effects

    def _fetch(
        self, now: float, teller: Member, heads: Iterable[Head], tries: int = 1
    ) -> list[Effect]:
        """Ask ``teller`` for what is missing here and isn't being fetched already."""
        effects: list[Effect] = []
        for batch in self._fetching.begin(now, heads):
            ticket = self._tickets.open(Fetched(teller, batch, tries))
            keys = tuple(head.key for head in batch)
            effects.append(FetchFrom(ticket, teller, keys, self.cfg.fetch_timeout))
        return effects

    def _fetch_elsewhere(self, now: float, failed: Fetched) -> list[Effect]:
        """Fetch from another peer, which by now most likely holds the documents too.

        The teller may have died right after it told, and others don't tell again for
        ever; waiting for the next comparison would take longer than a change may. The
        tries are bounded, because a process that is cut off fails at once each time.
        """
        self._fetching.end(failed.heads)
        peers = [peer for peer in self.membership.peers() if peer != failed.member]
        if not peers or failed.tries >= self.cfg.fetch_tries:
            return []
        teller = self._rng.choice(peers)
        return self._fetch(now, teller, failed.heads, failed.tries + 1)

    def _carry_out(self, probes: Iterable[ProbeEffect]) -> list[Effect]:
        return [effect for probe in probes for effect in self._sends_of(probe)]

    def _sends_of(self, probe: ProbeEffect) -> list[Effect]:
        if isinstance(probe, Probe):
            purpose = ProbedDirectly(probe.number, probe.member.instance)
            ticket = self._tickets.open(purpose)
            message = self._composer.ping(probe.member.instance)
            return [Send(ticket, probe.member, message, probe.timeout)]
        shared = ProbedThrough(probe.number, len(probe.helpers))
        effects: list[Effect] = []
        for helper in probe.helpers:
            message = self._composer.riding().asking_for(probe.member)
            ticket = self._tickets.open(shared)
            effects.append(Send(ticket, helper, message, probe.timeout))
        return effects

    def _probed(
        self, now: float, probed: ProbedDirectly, answered_by: str
    ) -> list[Effect]:
        """Conclude a direct probe.

        What goes wrong: an instance is replaced and its address given to another one,
        which answers the probes of the first. So an answer only counts if it comes from
        the instance that was probed.
        """
        if answered_by == probed.instance:
            self.membership.probe_answered(now, probed.number)
            return []
        probes = self.membership.probe_failed(now, probed.number)
        return self._carry_out(probes) + self._push(now)

    def _probed_through(
        self, now: float, probed: ProbedThrough, answered: bool, reached: bool
    ) -> list[Effect]:
        """Count a helper's answer; the first that reached the member decides."""
        probed.open -= 1
        probed.answered += answered
        if reached:
            self.membership.probe_answered(now, probed.number)
        elif probed.open == 0:
            self.membership.indirect_failed(now, probed.number, probed.answered)
        return self._push(now)

    def _push(self, now: float) -> list[Effect]:
        """Send what is to be passed on to a few random peers.

        Fresh news goes out at once. Repeats wait for the next interval, so that a burst
        of news becomes a few messages with many changes rather than many with one.

        What goes wrong on an overloaded machine: calls time out, members are suspected
        and refute it, and all of that is news to push, which adds to the load. One sees
        tens of messages a second where there are two at rest. A process that notices
        its own trouble therefore pushes as many times more slowly as it probes. What
        it says of itself alone goes at once: a refutation that waits arrives when the
        suspicion's time is over, and the process is held dead while it runs. The least
        time between two refutations bounds these.
        """
        if not len(self._outbox):
            return []
        gap = self.cfg.fresh_gap if self._outbox.fresh else self.cfg.push_interval
        gap *= self.membership.health.factor
        peers = self.membership.peers()
        waits = not self._own_word and now < self._pushed_at + gap
        if not peers or waits:
            return []
        self._pushed_at = now
        self._own_word = False
        targets = self._partners.to_push(peers)
        most = self.cfg.changes_per_push
        message = self._composer.passing_on(most, copies=len(targets))
        timeout = self.cfg.push_timeout
        return [
            Send(self._tickets.open(Pushed()), target, message, timeout)
            for target in targets
        ]

    def _join(self, now: float) -> list[Effect]:
        """While documents aren't complete, or nobody is known, ask for all."""
        if now < self._join_due:
            return []
        peers = self.membership.peers()
        if self.documents.complete and peers:
            self._join_gap = self.cfg.join_interval
            return []
        self._join_due = now + self._join_gap * self._rng.uniform(0.8, 1.2)
        self._join_gap = min(2 * self._join_gap, self.cfg.join_interval_most)
        asked = (
            self._partners.likely_complete() or peers or self.membership.candidates()
        )
        if not asked:
            return []
        return [self._ask_for_all(self._rng.choice(asked))]

    def _ask_for_all(self, member: Member) -> Effect:
        self.full_exchanges += 1
        message = self._composer.with_everything(self._composer.bare())
        message = message.asking_full()
        ticket = self._tickets.open(Joined())
        return Send(ticket, member, message, self.cfg.full_timeout)

    def _compare(self, now: float) -> list[Effect]:
        """Compare digests with a random member, or again with one that differed."""
        if self._recheck is not None and now >= self._recheck[0]:
            member, self._recheck = self._recheck[1], None
            return [self._comparison(member, again=True)]
        if now < self._compare_due:
            return []
        self._compare_due = now + self.cfg.compare_interval * self._rng.uniform(
            0.8, 1.2
        )
        member = self._partners.to_compare()
        return [self._comparison(member, again=False)] if member is not None else []

    def _comparison(self, member: Member, again: bool) -> Effect:
        message = self._composer.with_digests(self._composer.bare())
        ticket = self._tickets.open(Compared(member, again))
        return Send(ticket, member, message, self.cfg.push_timeout)

    def _compared(
        self, now: float, member: Member, again: bool, reply: Message
    ) -> list[Effect]:
        same = (
            reply.members_digest == self.membership.digest()
            and reply.documents_digest == self.documents.digest()
        )
        if same:
            return []
        if again:
            return [self._ask_for_all(member)]
        self._recheck = (now + self.cfg.recheck_after, member)
        return []
