"""Paths of plain services: what is forwarded, and which calls may not be repeated.

The rule that a path may not be repeated is a prefix in the customer's template, and a
service decides itself which spellings of a path it takes for the same. If a spelling
slipped past the rule, its call would run without a claim and might be retried, and the
teacher would see two submissions. So spellings that servers commonly fold together are
refused (dot segments, empty segments), and the rest is compared folded as well: a call
that needs no claim may get one, never the other way round.
"""

from __future__ import annotations

from dataclasses import dataclass

from bambootiller.entry.border import bad_request, quoted
from bambootiller_core.outcomes import Code, Executed, Refused
from bambootiller_core.template import ServicePolicy

PREFIX = "/services/"


@dataclass(frozen=True, slots=True)
class ServicePath:
    """``path`` is decoded and decided on; ``forwarded`` is the caller's own spelling
    behind the service's name, with the query."""

    service: str
    path: str
    forwarded: str


def read_path(decoded: str, raw: bytes, query: bytes) -> ServicePath | Refused:
    """Split ``/services/NAME/PATH``; the path is ``/`` if there is none."""
    service, slash, rest = decoded.removeprefix(PREFIX).partition("/")
    path = slash + rest or "/"
    segments = path.split("/")[1:]
    if any(segment in (".", "..") for segment in segments) or "" in segments[:-1]:
        return bad_request(
            f"path {quoted(path)} has a segment that is empty, '.' or '..'; "
            "allowed: paths without these"
        )
    if "\\" in path or not path.isprintable():
        return bad_request(
            f"path {quoted(path)} has a backslash or an unprintable character; "
            "allowed: paths without these"
        )
    try:
        spelled = raw.decode("ascii").removeprefix(PREFIX)
        forwarded = "/" + spelled.partition("/")[2]
        if query:
            forwarded += "?" + query.decode("ascii")
    except UnicodeDecodeError:
        return bad_request(f"path {quoted(path)} must be percent-encoded ASCII")
    return ServicePath(service, path, forwarded)


def may_not_repeat(policy: ServicePolicy, path: str) -> bool:
    """Whether the template says that calls of ``path`` are non-idempotent."""
    folded = path.casefold()
    return any(
        folded.startswith(prefix.casefold()) or folded + "/" == prefix.casefold()
        for prefix in policy.non_idempotent
    )


def key_required(path: str) -> Refused:
    """The refusal of a non-idempotent call without a key."""
    detail = (
        f"calls of {quoted(path)} are non-idempotent; header idempotency-key is "
        "required, so that a repeat can be recognised"
    )
    return Refused(Code.KEY_REQUIRED, Executed.NO, detail, retry_after_ms=0)
