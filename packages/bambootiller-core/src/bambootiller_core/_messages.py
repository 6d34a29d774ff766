"""How a process's messages are composed from what it holds and has to pass on."""

from __future__ import annotations

from dataclasses import dataclass, replace

from bambootiller_core._fetching import COMPLETE_MARK
from bambootiller_core._gossip_types import GossipConfig, Message
from bambootiller_core._outbox import Outbox, Subject, subject_of
from bambootiller_core._statements import Statement, Status, supersedes
from bambootiller_core.documents import Documents, Head
from bambootiller_core.membership import Membership


@dataclass(frozen=True, slots=True)
class Composer:
    """Composes messages. Each carries the sender's statement about itself."""

    membership: Membership
    documents: Documents
    outbox: Outbox
    cfg: GossipConfig

    def bare(self) -> Message:
        """A message with nothing but the sender's own statement."""
        return Message(self.membership.me.instance, (self.membership.own,))

    def ping(self, instance: str) -> Message:
        """A probe's message, also for one carried out on another process's behalf.

        If the member isn't held as alive it is told so, and can refute at once.
        """
        message = self.riding()
        held = self.membership.statement_of(instance)
        if held is None or held.status is Status.ALIVE:
            return message
        return telling(message, held)

    def riding(self, answered: Message | None = None) -> Message:
        """A message that takes a few changes along, but not those just told."""
        told = _subjects(answered) if answered is not None else frozenset()
        return self.passing_on(self.cfg.changes_per_probe, 1, told)

    def passing_on(
        self, most: int, copies: int, told: frozenset[Subject] = frozenset()
    ) -> Message:
        """A message with up to ``most`` changes that goes to ``copies`` peers."""
        statements: list[Statement] = [self.membership.own]
        heads: list[Head] = []
        documents = []
        room = self.cfg.inline_total
        members = self.membership.alive_count()
        for pending in self.outbox.take(most, copies, members, told):
            change = pending.change
            if isinstance(change, Statement):
                statements.append(change)
                continue
            size = len(change.value)
            if pending.sent == 0 and size <= min(room, self.cfg.inline_bytes):
                documents.append(change)
                room -= size
            else:
                heads.append(Head(change.key, change.revision))
        return Message(
            self.membership.me.instance,
            tuple(dict.fromkeys(statements)),
            tuple(heads),
            tuple(documents),
        )

    def with_digests(self, message: Message) -> Message:
        """The same with the digests of all that is held here."""
        return replace(
            message,
            members_digest=self.membership.digest(),
            documents_digest=self.documents.digest(),
        )

    def with_everything(self, message: Message) -> Message:
        """The same with all statements and heads, and the mark if they are complete."""
        heads = self.documents.heads()
        if self.documents.complete:
            heads += (Head(COMPLETE_MARK, self.documents.revision),)
        statements = self.membership.statements()
        return replace(
            message,
            statements=tuple(dict.fromkeys(message.statements + statements)),
            heads=message.heads + heads,
        )

    def with_own(self, message: Message) -> Message:
        """The same with this process's statement about itself as it is now."""
        me = self.membership.me.instance
        others = (one for one in message.statements if one.instance != me)
        return replace(message, statements=(self.membership.own, *others))

    def correction(self, message: Message) -> Statement | None:
        """What is held of a sender, if that supersedes its own statement."""
        held = self.membership.statement_of(message.sender)
        own = (one for one in message.statements if one.instance == message.sender)
        said = next(own, None)
        if held is None or said is None or not supersedes(held, said):
            return None
        return held


def telling(message: Message, statement: Statement | None) -> Message:
    """The same with one more statement, if there is one."""
    if statement is None:
        return message
    return message.with_statements((statement,))


def _subjects(message: Message) -> frozenset[Subject]:
    changes = (*message.statements, *message.heads, *message.documents)
    return frozenset(subject_of(change) for change in changes)
