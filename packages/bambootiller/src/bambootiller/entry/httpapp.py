"""The Falcon application: routes, and what becomes of errors."""

from __future__ import annotations

from collections.abc import Callable

import falcon
import falcon.asgi

from bambootiller import logs
from bambootiller.entry import headers, problems
from bambootiller.entry.arrivals import Arrivals
from bambootiller.entry.border import bad_request, read_chat, read_completion
from bambootiller.entry.exchange import TrackedApplication
from bambootiller.entry.health import HealthResource, Readiness, ReadyResource
from bambootiller.entry.relays import Relays
from bambootiller.entry.resources import ModelResource, ModelsResource, ServiceSink
from bambootiller.entry.responses import write_refusal
from bambootiller_core.invariants import InvariantBroken
from bambootiller_core.outcomes import Code, Executed, Refused

SERVICE_PATHS = r"/services/.*"

log = logs.logger("entry.http")


class ConnectionCloser:
    """Has callers close their connections once this process is leaving.

    A kept connection is invisible to the balancer: requests would go on arriving on it
    until it is cut, and the one that arrives at that moment would be lost.
    """

    def __init__(self, is_leaving: Callable[[], bool]) -> None:
        self._is_leaving = is_leaving

    async def process_response(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        resource: object,
        req_succeeded: bool,
    ) -> None:
        """Add the header to each response while leaving."""
        if self._is_leaving():
            resp.set_header("connection", "close")


def build(
    arrivals: Arrivals,
    relays: Relays,
    readiness: Callable[[], Readiness],
    on_broken: Callable[[BaseException], None],
) -> TrackedApplication:
    """The whole HTTP application of an entry."""
    closer = ConnectionCloser(lambda: readiness().leaving)
    app = falcon.asgi.App(middleware=[closer])
    # A service's answer without a content type goes on without one.
    app.resp_options.default_media_type = None
    app.add_error_handler(Exception, _unexpected)
    app.add_error_handler(falcon.HTTPError, _http_error)
    # Left to the outermost wrapper, which stops the process.
    app.add_error_handler(InvariantBroken, _raise)
    app.add_route("/v1/chat/completions", ModelResource(arrivals, relays, read_chat))
    app.add_route("/v1/completions", ModelResource(arrivals, relays, read_completion))
    app.add_route("/v1/models", ModelsResource(arrivals))
    app.add_route("/healthz", HealthResource())
    app.add_route("/readyz", ReadyResource(readiness))
    app.add_sink(ServiceSink(arrivals, relays), SERVICE_PATHS)
    return TrackedApplication(app, on_broken)


async def _http_error(
    req: falcon.asgi.Request,
    resp: falcon.asgi.Response,
    exc: falcon.HTTPError,
    params: dict,
) -> None:
    """An unknown path, a method that it doesn't have, a malformed header."""
    name = headers.request_name(None)
    refused = bad_request(f"{req.method} {req.path[:200]}: {exc.title}")
    write_refusal(resp, refused, name)
    resp.status = exc.status_code
    resp.data = problems.problem_json(refused, name.shown, exc.status_code)
    for key, value in (exc.headers or {}).items():
        resp.set_header(key, value)


async def _unexpected(
    req: falcon.asgi.Request,
    resp: falcon.asgi.Response,
    exc: Exception,
    params: dict,
) -> None:
    """A fault of the program in one request; the others go on."""
    log.exception("{} {} failed: {}", req.method, req.path, exc)
    detail = "the request failed inside this entry"
    refused = Refused(Code.BACKEND_FAILED, Executed.UNKNOWN, detail)
    write_refusal(resp, refused, headers.request_name(None))


async def _raise(
    req: falcon.asgi.Request,
    resp: falcon.asgi.Response,
    exc: Exception,
    params: dict,
) -> None:
    raise exc
