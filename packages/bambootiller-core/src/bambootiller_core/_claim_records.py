"""What is written under a claim's key, and the names and hashes that go with it.

Example::

    key = claim_key("forge", "push-hooks", "push 17")
    # '/bambootiller/claims/forge/push-hooks/push%2017'
    record = ClaimRecord("t-1", "i-3", "r-9", digest, ClaimState.CLAIMED)
    assert decode_claim(record.encode()) == record
"""

from __future__ import annotations

import base64
import binascii
import enum
import hashlib
import json
from dataclasses import dataclass
from urllib.parse import quote

CLAIMS_PREFIX = "/bambootiller/claims/"

#: Larger answers aren't kept: the service holds configuration for the whole fleet, and
#: a claim is never removed.
LARGEST_KEPT_ANSWER = 16 * 1024


class ClaimState(enum.Enum):
    """How far the call under a claim has come.

    ``CLAIMED``: it may run, may be running or may have run. ``DONE``: it ran, and its
    answer came whole. ``CUT``: it was started, and nobody will learn how it ended.
    ``RELEASED``: it has not run under this record and never will.
    """

    CLAIMED = "claimed"
    DONE = "done"
    CUT = "cut"
    RELEASED = "released"


@dataclass(frozen=True, slots=True)
class KeptAnswer:
    """The first answer of a call, kept so that a repeat gets the same one.

    ``body`` is the body of a plain service's answer, or a model's text in UTF-8;
    ``tokens`` and ``finish_reason`` belong to the latter.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int = 0
    finish_reason: str = ""


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """The value of a claim. ``token`` names one attempt at one agent, and no other."""

    token: str
    holder: str
    request_id: str
    fingerprint: str
    state: ClaimState
    answer: KeptAnswer | None = None

    def encode(self) -> bytes:
        """The record as JSON."""
        form = {
            "token": self.token,
            "holder": self.holder,
            "request_id": self.request_id,
            "fingerprint": self.fingerprint,
            "state": self.state.value,
        }
        if self.answer is not None:
            form["answer"] = _answer_form(self.answer)
        return json.dumps(form, separators=(",", ":")).encode()


@dataclass(frozen=True, slots=True)
class MalformedClaim:
    """Something under a claim's key that this version can't read."""

    detail: str


def decode_claim(value: bytes) -> ClaimRecord | MalformedClaim:
    """Read a claim; fields that a later version may add are left alone."""
    try:
        form = json.loads(value)
        answer = form.get("answer")
        return ClaimRecord(
            token=str(form["token"]),
            holder=str(form["holder"]),
            request_id=str(form["request_id"]),
            fingerprint=str(form["fingerprint"]),
            state=ClaimState(form["state"]),
            answer=None if answer is None else _answer(answer),
        )
    except (ValueError, KeyError, TypeError, AttributeError, binascii.Error) as exc:
        return MalformedClaim(f"{type(exc).__name__}: {exc}")


def claim_key(customer: str, caller: str, idempotency_key: str) -> str:
    """The key of a claim. All parts are quoted, so that none reaches into another."""
    parts = (customer, caller, idempotency_key)
    return CLAIMS_PREFIX + "/".join(quote(part, safe="") for part in parts)


def fingerprint(method: str, path: str, body: bytes) -> str:
    """A digest of what the caller asked for, to tell a repeat from a misused key."""
    digest = hashlib.sha256()
    for part in (method.encode(), path.encode(), body):
        # Each part goes in behind its length: without it, moving bytes from the path
        # to the body would give another request the same digest.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def _answer_form(answer: KeptAnswer) -> dict:
    return {
        "status": answer.status,
        "headers": [list(pair) for pair in answer.headers],
        "body": base64.b64encode(answer.body).decode(),
        "tokens": answer.tokens,
        "finish_reason": answer.finish_reason,
    }


def _answer(form: dict) -> KeptAnswer:
    return KeptAnswer(
        status=int(form["status"]),
        headers=tuple((str(name), str(value)) for name, value in form["headers"]),
        body=base64.b64decode(form["body"], validate=True),
        tokens=int(form.get("tokens", 0)),
        finish_reason=str(form.get("finish_reason", "")),
    )
