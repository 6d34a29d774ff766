"""Running a call of a plain service.

Nothing here is ever sent twice. That takes some care with the client library, which
sends requests of certain methods again by itself if their connection ends without an
answer: see :func:`send_once`.
"""

from __future__ import annotations

import aiohttp
from yarl import URL

from bambootiller.agent.calls import Call
from bambootiller.agent.engine import CONNECT_SECONDS
from bambootiller.agent.pieces import AnswerHead, Completed, Data, Final
from bambootiller.agent.refusals import backend_failed, malformed
from bambootiller.http_session import HttpSession
from bambootiller_core.http_status import FINAL_STATUSES
from bambootiller_core.outcomes import Executed

#: They concern one connection, or are set anew here.
NOT_FORWARDED = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-request-id",
    }
)
NOT_ADDED = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")


class AnswerCut(aiohttp.ClientError):
    """The connection ended after the call may have been sent, without an answer."""


async def send_once(
    req: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep the client library from sending a request a second time.

    What goes wrong: the service reads a GET, PUT or DELETE, runs it and dies before it
    answers. The library counts those methods as idempotent, whatever the template says
    of the path, and sends the request once more on a new connection. A non-idempotent
    call then runs twice under one claim; it shows only as two arrivals at the service.
    The library repeats after certain errors alone, so these are given another type.
    """
    try:
        return await handler(req)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        # No connection was made; these aren't repeated, and tell that nothing ran.
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise AnswerCut(repr(exc)) from exc


class ServiceClient:
    """Connections to the plain services beside this agent, by name.

    Each call gets a connection of its own: of a kept one that turns out closed, nobody
    can tell whether the service read the call or had closed it before.

    Redirects aren't followed, for they would be a second call, and cookies aren't kept,
    for they would carry one caller's session into the calls of another.
    """

    def __init__(self, urls: dict[str, str]) -> None:
        self._urls = {name: url.rstrip("/") for name, url in urls.items()}
        self._http = HttpSession(_forwarding)

    def __contains__(self, service: str) -> bool:
        return service in self._urls

    def url(self, service: str, path: str) -> URL:
        """Where a call goes; the path is passed on as it was spelled."""
        return URL(self._urls[service] + path, encoded=True)

    @property
    def session(self) -> aiohttp.ClientSession:
        """The session of all calls; the core decides how many run."""
        return self._http.get()

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()


def _forwarding() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=True),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        middlewares=(send_once,),
    )


async def run_service(client: ServiceClient, call: Call) -> Final:
    """Forward one call and stream its answer into the call's outbox."""
    target = call.req.target
    if not target.path.startswith("/"):
        # Appended to "http://host:80", a path such as "@other/" names another host.
        return malformed(f"path {target.path!r} must begin with '/'")
    headers = [
        (name, value)
        for name, value in call.body.headers
        if name.lower() not in NOT_FORWARDED
    ]
    headers.append(("X-Request-Id", call.name))
    limit = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS)
    call.sent = True
    try:
        async with client.session.request(
            target.method,
            client.url(target.service, target.path),
            headers=headers,
            skip_auto_headers=NOT_ADDED,
            data=call.body.body or None,
            allow_redirects=False,
            timeout=limit,
        ) as response:
            return await _pass_on(call, response)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
        call.sent = False
        return backend_failed(Executed.NO, f"the service can't be reached: {exc}")
    except aiohttp.InvalidURL as exc:
        call.sent = False
        return malformed(f"path {target.path!r} makes no address: {exc}")
    except (aiohttp.ClientError, OSError, ValueError) as exc:
        return backend_failed(
            Executed.UNKNOWN, f"the service's answer was cut: {exc!r}"
        )


async def _pass_on(call: Call, response: aiohttp.ClientResponse) -> Final:
    if response.status not in FINAL_STATUSES:
        return backend_failed(
            Executed.UNKNOWN,
            f"the service answered with status {response.status}; allowed: 200 to 599",
        )
    headers = tuple(
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in NOT_FORWARDED
    )
    await call.put(AnswerHead(response.status, headers))
    async for data in response.content.iter_any():
        if data:
            await call.put(Data(data))
    return Completed()
