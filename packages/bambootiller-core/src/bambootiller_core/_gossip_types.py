"""The messages, effects and settings of the gossip."""

from __future__ import annotations

from dataclasses import dataclass, replace

from bambootiller_core._statements import Statement
from bambootiller_core.documents import Document, Head
from bambootiller_core.types import Member


@dataclass(frozen=True, slots=True)
class GossipConfig:
    """Times are seconds, sizes bytes.

    ``inline_bytes`` is the largest document that travels whole, ``inline_total`` all of
    them in one message. ``compare_near`` is the share of comparisons that stay in the
    own region.
    """

    fanout: int = 3
    watchers_per_zone: int = 2
    push_interval: float = 0.2
    fresh_gap: float = 0.04
    push_timeout: float = 1.0
    compare_interval: float = 5.0
    compare_near: float = 0.8
    recheck_after: float = 1.0
    join_interval: float = 0.25
    join_interval_most: float = 1.0
    full_timeout: float = 3.0
    fetch_timeout: float = 1.5
    fetch_tries: int = 3
    fetch_keys: int = 64
    fetch_bytes: int = 2 * 2**20
    inline_bytes: int = 1024
    inline_total: int = 8192
    newest_heads: int = 16
    changes_per_probe: int = 8
    changes_per_push: int = 64


@dataclass(frozen=True, slots=True)
class Message:
    """One gossip message, in either direction.

    ``members_digest`` is 0 unless digests are compared. ``probe`` is a member that the
    receiver shall probe for the sender. ``full`` asks for everything.
    """

    sender: str
    statements: tuple[Statement, ...] = ()
    heads: tuple[Head, ...] = ()
    documents: tuple[Document, ...] = ()
    members_digest: int = 0
    documents_digest: int = 0
    probe_target: str = ""
    probe_address: str = ""
    full: bool = False

    @property
    def compares(self) -> bool:
        """Whether the message carries digests."""
        return self.members_digest != 0

    def asking_for(self, member: Member) -> Message:
        """The same, asking the receiver to probe ``member``."""
        return replace(self, probe_target=member.instance, probe_address=member.address)

    def asking_full(self) -> Message:
        """The same, asking for everything."""
        return replace(self, full=True)

    def with_statements(self, statements: tuple[Statement, ...]) -> Message:
        """The same with more statements."""
        return replace(self, statements=self.statements + statements)

    def with_heads(self, heads: tuple[Head, ...]) -> Message:
        """The same with more heads."""
        return replace(self, heads=self.heads + heads)


@dataclass(frozen=True, slots=True)
class Send:
    """Send ``message``, wait for its reply at most ``timeout`` seconds."""

    ticket: int
    to: Member
    message: Message
    timeout: float


@dataclass(frozen=True, slots=True)
class FetchFrom:
    """Fetch the documents under ``keys``, waiting at most ``timeout`` seconds."""

    ticket: int
    to: Member
    keys: tuple[str, ...]
    timeout: float


Effect = Send | FetchFrom


@dataclass(frozen=True, slots=True)
class Handled:
    """The reply to a message, and what else to do."""

    reply: Message
    effects: list[Effect]
