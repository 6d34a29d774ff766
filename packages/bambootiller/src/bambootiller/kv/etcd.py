"""The key-value port over the JSON gateway of etcd v3.

What a caller must know of a failed call is whether it can have taken effect. That
depends on how far the call came: a connection that was refused, or an answer by which
the service turned the call away, means no effect. Once the request is on the wire and
no answer comes, a write may have taken effect, or may yet; such an outcome is
``Unknown``, and the caller reads before it concludes anything.

With several endpoints, a call that certainly took no effect goes on to the next one. A
write whose fate is unknown doesn't: sent a second time it could fail its own compare
against itself, and report a conflict although it has won.
"""

from __future__ import annotations

import json
import math
from collections.abc import AsyncIterator, Sequence
from http import HTTPStatus
from typing import Any

import aiohttp

from bambootiller.http_session import HttpSession, SessionClosed
from bambootiller.kv import _codec as codec
from bambootiller_core.ports import (
    Changed,
    Committed,
    Compare,
    Conflict,
    Delete,
    Found,
    Granted,
    LeaseOutcome,
    Put,
    ReadOutcome,
    Unavailable,
    Unknown,
    WriteOutcome,
)

CONNECT_SECONDS = 1.0
READ_SECONDS = 3.0
WRITE_SECONDS = 3.0
#: A watch that has been silent for so long is opened anew from where it stood. A
#: connection that died without a sign would otherwise never deliver a change again.
WATCH_QUIET_SECONDS = 45.0
#: The longest line of a watch: an answer may hold many values of up to a megabyte.
WATCH_LINE_BYTES = 16 * 2**20

#: Answers by which the service says that it has not carried the call out.
_TURNED_AWAY = frozenset(
    {
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.UNAUTHORIZED,
        HTTPStatus.FORBIDDEN,
        HTTPStatus.NOT_FOUND,
        HTTPStatus.CONFLICT,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.NOT_IMPLEMENTED,
    }
)
#: What a 503 says if the service had nobody to hand the write to.
_NO_LEADER = "no leader"

Form = dict[str, Any]


class _Unanswered(Exception):
    """The call was sent, but its outcome isn't known."""


class _NoEffect(Exception):
    """The call certainly took no effect."""


#: What proves that a call never left.
_NOT_SENT = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    SessionClosed,
)
_WATCH_ENDS = (
    _NoEffect,
    _Unanswered,
    aiohttp.ClientError,
    OSError,
    ValueError,
    KeyError,
)


class EtcdKeyValue:
    """The platform's key-value service behind one or more endpoints.

    Example::

        kv = EtcdKeyValue(("http://127.0.0.1:2379",), None, None)
        found = await kv.get_prefix("/bambootiller/templates/")
        await kv.close()
    """

    def __init__(
        self, urls: Sequence[str], user: str | None, password: str | None
    ) -> None:
        if not urls:
            raise ValueError("urls is empty; at least one endpoint is needed")
        self._urls = [url.rstrip("/") for url in urls]
        self._user = user
        self._password = password
        self._token: str | None = None
        self._first = 0
        self._http = HttpSession(
            lambda: aiohttp.ClientSession(read_bufsize=WATCH_LINE_BYTES)
        )

    async def get(self, key: str) -> ReadOutcome:
        """Read one key; ``Found`` with no records if it is absent."""
        return await self._range(codec.range_form(key))

    async def get_prefix(self, prefix: str) -> ReadOutcome:
        """Read all keys that start with ``prefix``."""
        return await self._range(codec.range_form(prefix, codec.prefix_end(prefix)))

    async def transact(
        self, compares: Sequence[Compare], writes: Sequence[Put | Delete]
    ) -> WriteOutcome:
        """Carry out ``writes`` if all ``compares`` hold, all of it or nothing."""
        body = codec.transaction_form(compares, writes)
        try:
            form = await self._call("/v3/kv/txn", body, WRITE_SECONDS, repeat=False)
            if form.get("succeeded", False):
                return Committed(codec.revision(form))
            return Conflict(codec.conflict_records(form), codec.revision(form))
        except _NoEffect as exc:
            return Unavailable(str(exc))
        except (_Unanswered, ValueError, KeyError) as exc:
            return Unknown(_describe(exc))

    async def grant_lease(self, ttl_s: float) -> LeaseOutcome:
        """Begin a lease of so many seconds; the service counts whole ones."""
        body = {"TTL": str(math.ceil(ttl_s)), "ID": "0"}
        try:
            form = await self._call(
                "/v3/lease/grant", body, WRITE_SECONDS, repeat=False
            )
            return Granted(int(form["ID"]), float(form["TTL"]))
        except (_NoEffect, _Unanswered, ValueError, KeyError) as exc:
            return Unavailable(_describe(exc))

    async def keep_lease(self, lease: int) -> LeaseOutcome:
        """Have a lease begin anew."""
        body = {"ID": str(lease)}
        try:
            form = await self._call(
                "/v3/lease/keepalive", body, WRITE_SECONDS, repeat=True
            )
            seconds = float(form["result"].get("TTL", 0))
            return Granted(lease, seconds) if seconds else Unavailable("it has ended")
        except (_NoEffect, _Unanswered, ValueError, KeyError) as exc:
            return Unavailable(_describe(exc))

    async def watch(
        self, prefix: str, from_revision: int
    ) -> AsyncIterator[tuple[Changed, ...] | Unavailable]:
        """Yield changes under ``prefix`` from a revision on; ends with ``Unavailable``.

        The changes of one revision come in one batch. A compacted revision ends the
        watch as a lost connection does: both times the caller has to read anew."""
        start = from_revision
        while True:
            try:
                async for batch in self._watch_once(prefix, start):
                    yield batch
                    start = max(change.record.mod_revision for change in batch) + 1
            except aiohttp.SocketTimeoutError:
                continue
            except _WATCH_ENDS as exc:
                self._turn()
                yield Unavailable(_describe(exc))
                return

    async def close(self) -> None:
        """Release the connections."""
        await self._http.close()

    async def _range(self, body: Form) -> ReadOutcome:
        try:
            form = await self._call("/v3/kv/range", body, READ_SECONDS, repeat=True)
            records = tuple(codec.record(kv) for kv in form.get("kvs", ()))
            return Found(records, codec.revision(form))
        except (_NoEffect, _Unanswered, ValueError, KeyError) as exc:
            return Unavailable(_describe(exc))

    async def _call(self, path: str, body: Form, seconds: float, repeat: bool) -> Form:
        """Call the endpoints in turn until one answers.

        ``repeat`` allows the next endpoint after a call without an answer as well.
        """
        problem: Exception = _NoEffect("no endpoint")
        for _ in self._urls:
            try:
                return await self._call_one(path, body, seconds)
            except _NoEffect as exc:
                problem = exc
            except _Unanswered as exc:
                problem = exc
                if not repeat:
                    break
            self._turn()
        raise problem

    async def _call_one(self, path: str, body: Form, seconds: float) -> Form:
        headers = await self._headers()
        limit = aiohttp.ClientTimeout(total=seconds, sock_connect=CONNECT_SECONDS)
        url = self._urls[self._first] + path
        try:
            async with self._http.get().post(
                url, json=body, headers=headers, timeout=limit
            ) as response:
                await self._check(response)
                return _form(await response.json(content_type=None))
        except _NOT_SENT as exc:
            raise _NoEffect(_describe(exc)) from exc
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as exc:
            raise _Unanswered(_describe(exc)) from exc

    async def _check(self, response: aiohttp.ClientResponse) -> None:
        """Raise unless the call was answered with success.

        What goes wrong: the service answers 503 "request timed out" to a write that it
        had already handed to its members, and the write takes effect a moment later. So
        a 5xx proves nothing, and of the 4xx only those do that reject the call as such.
        """
        if response.status == HTTPStatus.OK:
            return
        text = (await response.text())[:200]
        detail = f"status {response.status}: {text}"
        if response.status == HTTPStatus.UNAUTHORIZED:
            self._token = None
        if response.status in _TURNED_AWAY or _NO_LEADER in text:
            raise _NoEffect(detail)
        raise _Unanswered(detail)

    async def _watch_once(
        self, prefix: str, start: int
    ) -> AsyncIterator[tuple[Changed, ...]]:
        headers = await self._headers()
        limit = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_SECONDS, sock_read=WATCH_QUIET_SECONDS
        )
        url = self._urls[self._first] + "/v3/watch"
        body = codec.watch_form(prefix, start)
        async with self._http.get().post(
            url, json=body, headers=headers, timeout=limit
        ) as response:
            await self._check(response)
            while line := await response.content.readline():
                batch = _batch(_form(json.loads(line)))
                if batch:
                    yield batch
        raise _Unanswered("the watch was closed by the service")

    async def _headers(self) -> dict[str, str]:
        """The authentication header, after a login if there is no token yet."""
        if not self._user:
            return {}
        if self._token is None:
            self._token = await self._log_in()
        return {"Authorization": self._token}

    async def _log_in(self) -> str:
        body = {"name": self._user, "password": self._password or ""}
        limit = aiohttp.ClientTimeout(total=READ_SECONDS, sock_connect=CONNECT_SECONDS)
        url = self._urls[self._first] + "/v3/auth/authenticate"
        try:
            async with self._http.get().post(url, json=body, timeout=limit) as response:
                if response.status != HTTPStatus.OK:
                    raise _NoEffect(f"login refused with status {response.status}")
                form = await response.json(content_type=None)
                return form["token"]
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            ValueError,
            KeyError,
        ) as exc:
            raise _NoEffect(f"login failed: {_describe(exc)}") from exc

    def _turn(self) -> None:
        """Begin with the next endpoint from now on."""
        self._first = (self._first + 1) % len(self._urls)


def _form(answer: Any) -> Form:
    if not isinstance(answer, dict):
        raise _Unanswered("the answer isn't a JSON object")
    return answer


def _batch(form: Form) -> tuple[Changed, ...]:
    if "error" in form:
        raise _Unanswered(f"the watch failed: {form['error']}")
    result = form["result"]
    if result.get("canceled", False):
        reason = result.get("cancel_reason") or "its start was compacted"
        raise _Unanswered(f"the watch was cancelled: {reason}")
    return tuple(codec.changed(event) for event in result.get("events", ()))


def _describe(exc: Exception) -> str:
    if isinstance(exc, (_NoEffect, _Unanswered)):
        return str(exc)
    return f"{type(exc).__name__}: {exc}"
