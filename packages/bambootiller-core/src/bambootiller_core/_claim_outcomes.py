"""How an attempt to claim a call can end, and what the caller is told."""

from __future__ import annotations

from dataclasses import dataclass

from bambootiller_core._claim_records import (
    ClaimRecord,
    ClaimState,
    KeptAnswer,
    MalformedClaim,
)
from bambootiller_core.outcomes import Code, Executed, Refused

#: A misused key stays misused: coming back later doesn't help.
NEVER = 0


@dataclass(frozen=True, slots=True)
class Claimed:
    """The call is this attempt's alone. It may be run once, at any later time."""

    token: str


@dataclass(frozen=True, slots=True)
class Replay:
    """The call ran before; this is its first answer."""

    answer: KeptAnswer


@dataclass(frozen=True, slots=True)
class Taken:
    """Another attempt holds the claim, and its answer isn't known here.

    ``record`` is None if what stands under the key can't be read.
    """

    record: ClaimRecord | None


@dataclass(frozen=True, slots=True)
class Mismatch:
    """The same key came with another request before."""

    record: ClaimRecord


@dataclass(frozen=True, slots=True)
class ClaimUnavailable:
    """The claim couldn't be settled; this attempt doesn't run and never will."""

    detail: str


ClaimOutcome = Claimed | Replay | Taken | Mismatch | ClaimUnavailable


@dataclass(frozen=True, slots=True)
class Settled:
    """The outcome of the attempt with this token."""

    token: str
    outcome: ClaimOutcome


@dataclass(frozen=True, slots=True)
class Free:
    """Whoever had claimed the key has released it: it may be claimed anew."""


@dataclass(frozen=True, slots=True)
class Held:
    """Another attempt holds the claim, and may be running."""

    record: ClaimRecord


def meaning_of(
    claim: ClaimRecord | MalformedClaim, fingerprint: str
) -> Free | Held | Replay | Taken | Mismatch:
    """What another attempt's claim means for one with this fingerprint."""
    if isinstance(claim, MalformedClaim):
        return Taken(None)
    if claim.state is ClaimState.RELEASED:
        return Free()
    if claim.fingerprint != fingerprint:
        return Mismatch(claim)
    if claim.state is ClaimState.CLAIMED:
        return Held(claim)
    if claim.state is ClaimState.DONE and claim.answer is not None:
        return Replay(claim.answer)
    return Taken(claim)


def refusal(
    outcome: Taken | Mismatch | ClaimUnavailable, retry_after_ms: int = 1000
) -> Refused:
    """What the caller is told about an attempt that neither runs nor replays.

    "no" always speaks of this request alone: an earlier one under the same key may have
    run, which is why a repeat that meets its record is told "unknown" or "yes".
    """
    match outcome:
        case ClaimUnavailable(detail):
            return Refused(
                Code.CLAIM_UNAVAILABLE,
                Executed.NO,
                f"the call could not be claimed and is not run: {detail}",
                retry_after_ms,
            )
        case Mismatch():
            return Refused(
                Code.ALREADY_CLAIMED,
                Executed.NO,
                "the idempotency key was used before for another request",
                NEVER,
            )
        case Taken(record) if record is not None and record.state is ClaimState.DONE:
            return Refused(
                Code.ALREADY_CLAIMED,
                Executed.YES,
                f"the call ran as request {record.request_id}; its answer was too"
                " large to be kept",
                NEVER,
            )
        case Taken(record):
            earlier = "an unreadable claim" if record is None else record.request_id
            return Refused(
                Code.ALREADY_CLAIMED,
                Executed.UNKNOWN,
                f"the call was claimed before by {earlier} and may have run",
                retry_after_ms,
            )
