"""Writing refusals and answers into Falcon's responses."""

from __future__ import annotations

import falcon.asgi

from bambootiller.entry import headers, problems
from bambootiller.entry.arrivals import TurnedAway
from bambootiller.entry.headers import RequestName
from bambootiller.entry.relay.calls import Head
from bambootiller_core.outcomes import Code, Refused


def write_refusal(
    resp: falcon.asgi.Response, refused: Refused, name: RequestName
) -> None:
    """Answer with a refusal as problem details."""
    resp.status = refused.status
    resp.content_type = problems.CONTENT_TYPE
    resp.data = problems.problem_json(refused, name.shown)
    resp.set_header(headers.REQUEST_ID, name.shown)
    if refused.retry_after_ms > 0:
        resp.set_header("retry-after", str(problems.retry_after_seconds(refused)))
    if refused.code is Code.UNAUTHENTICATED:
        resp.set_header("www-authenticate", "Bearer")


def write_turned_away(resp: falcon.asgi.Response, away: TurnedAway) -> None:
    """Answer a request that was refused at the border."""
    write_refusal(resp, away.refused, away.name)


def write_json(resp: falcon.asgi.Response, data: bytes, name: RequestName) -> None:
    """Answer with JSON."""
    resp.content_type = falcon.MEDIA_JSON
    resp.data = data
    resp.set_header(headers.REQUEST_ID, name.shown)


def write_head(resp: falcon.asgi.Response, head: Head, name: RequestName) -> None:
    """Answer with the status and headers of a plain service."""
    resp.status = head.status
    for key, value in headers.passed_on(head.headers):
        if key == "content-type":
            resp.content_type = value
        else:
            resp.append_header(key, value)
    resp.set_header(headers.REQUEST_ID, name.shown)
    if head.replayed:
        resp.set_header(headers.REPLAYED, "true")
