"""The headers that callers steer a request by, and those that pass through.

Header names are lower case throughout, as ASGI servers deliver them.
"""

from __future__ import annotations

import re
import uuid
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from bambootiller.entry.border import bad_request, quoted
from bambootiller_core.outcomes import Refused

TIMEOUT = "x-request-timeout-ms"
IDEMPOTENCY_KEY = "idempotency-key"
REQUEST_ID = "x-request-id"
REPLAYED = "x-bambootiller-replayed"

_REQUEST_ID_FORM = re.compile(r"[A-Za-z0-9._:-]{1,100}")
_KEY_FORM = re.compile(r"[\x21-\x7e]{1,200}")

#: Enough to keep requests apart that callers gave the same name.
_SUFFIX_CHARS = 12

#: They concern one connection, or are set anew by whoever sends the message on.
_NOT_PASSED_ON = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "expect",
        # The caller's key opens this system; a service behind it has no use for it.
        "authorization",
        TIMEOUT,
        REQUEST_ID,
        "date",
        "server",
    }
)


@dataclass(frozen=True, slots=True)
class RequestName:
    """``shown`` is the caller's name for a request, ``unique`` the system's own."""

    shown: str
    unique: str


@dataclass(frozen=True, slots=True)
class Steering:
    """What the headers of one request say; 0 and an empty key mean not set."""

    timeout_ms: int
    idempotency_key: str


def request_name(given: str | None) -> RequestName | Refused:
    """The names of a request.

    Agents tell requests apart by their name. If the caller's were used as it is, two
    requests under way with the same name (a client that retries, two customers with
    "1") could get each other's answers, and nobody would notice but the callers. So a
    given name gets a random suffix inside the system, and stays as it is outside.
    """
    drawn = uuid.uuid4().hex
    if given is None:
        return RequestName(drawn, drawn)
    if not _REQUEST_ID_FORM.fullmatch(given):
        return bad_request(
            f"header {REQUEST_ID} has the value {quoted(given)}; allowed: 1 to 100 "
            "letters, digits, dots, colons, hyphens and underscores"
        )
    return RequestName(given, f"{given}~{drawn[:_SUFFIX_CHARS]}")


def read_steering(headers: Mapping[str, str]) -> Steering | Refused:
    """Read the timeout and the idempotency key."""
    text = headers.get(TIMEOUT, "")
    if text and not (text.isascii() and text.isdigit() and 0 < int(text[:18])):
        return bad_request(
            f"header {TIMEOUT} has the value {quoted(text)}; allowed: whole "
            "milliseconds, at least 1"
        )
    key = headers.get(IDEMPOTENCY_KEY, "")
    if key and not _KEY_FORM.fullmatch(key):
        return bad_request(
            f"header {IDEMPOTENCY_KEY} has the value {quoted(key)}; allowed: 1 to 200 "
            "printable ASCII characters without spaces"
        )
    return Steering(int(text[:18]) if text else 0, key)


def passed_on(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """The headers that go on to a plain service, or back from it to the caller."""
    return [(name, value) for name, value in headers if name not in _NOT_PASSED_ON]
