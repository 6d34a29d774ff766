"""The ASGI application that serves the callers of the gateway.

Calls aren't handled by Falcon resources: their paths are configured by the operator,
their heads and bodies are forwarded byte for byte, and an answer that can't be finished
has to close the caller's connection. Only the process's own pages are resources.
"""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import falcon
import falcon.asgi

from bambootiller.gateway.http_limits import CONNECTION_END, ConnectionEnd
from bambootiller.gateway.ports import Incoming, Unreadable
from bambootiller.gateway.relay import AnswerTruncated, Relay
from bambootiller.gateway.relay_context import RelayContext
from bambootiller.gateway.reporting import CallReport
from bambootiller_core.gateway.attempts import (
    DEFAULT_RETRY_AFTER_S,
    Refusal,
    RefusalReason,
)
from bambootiller_core.gateway.calls import Call
from bambootiller_core.gateway.config import GatewayConfig, Route
from bambootiller_core.gateway.fingerprint import fingerprint
from bambootiller_core.gateway.log_lines import CallError, Refused

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

#: Timeout of a call for which neither the caller nor the operator set one. Seconds.
DEFAULT_TIMEOUT_S = 60.0
#: New calls are refused this long before the end of a planned stop. Seconds.
REFUSE_BEFORE_STOP_S = 4.0
#: An answer is due this much before the caller's deadline, so that it arrives in time
#: over the network. Seconds.
ANSWER_MARGIN_S = 0.03


class CallerGone(Exception):
    """The caller closed its connection before its call was answered."""


class BodyTooLarge(Exception):
    """The body is larger than the configuration allows."""


class HttpFront:
    """Accepts calls and runs a relay for each.

    While ``is_leaving`` holds, answers have the header ``connection: close``, so that
    no later call is sent over a connection that the shutdown is about to close.
    """

    def __init__(
        self,
        context: RelayContext,
        pages: falcon.asgi.App,
        is_ready: Callable[[], bool],
        is_leaving: Callable[[], bool],
    ) -> None:
        self._context = context
        self._pages = pages
        self._is_ready = is_ready
        self._is_leaving = is_leaving
        self.under_way = 0
        #: Calls accepted since the start.
        self.accepted = 0
        self.idle = asyncio.Event()
        self.idle.set()

    async def __call__(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        if scope["path"] == self._context.dialect.ready_path:
            await self._pages(scope, receive, send)
            return
        self.under_way += 1
        self.accepted += 1
        self.idle.clear()
        try:
            await self._serve(scope, receive, send)
        except CallerGone:
            return
        except AnswerTruncated:
            # Without the final event the server closes the connection, the only way in
            # HTTP/1.1 to signal to a caller that a body is incomplete.
            return
        except Exception as exc:
            self._context.events.emit(self._call_error(scope, exc))
            raise
        finally:
            self.under_way -= 1
            if not self.under_way:
                self.idle.set()

    def _call_error(self, scope: dict[str, Any], exc: Exception) -> CallError:
        incoming = self._context.dialect.read(scope)
        request = None if isinstance(incoming, Unreadable) else incoming.request_id
        frame = traceback.extract_tb(exc.__traceback__)[-1]
        where = f"{Path(frame.filename).name}:{frame.lineno}"
        return CallError(request, repr(exc), where)

    async def _serve(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        context = self._context
        arrived = context.clock()
        incoming = context.dialect.read(scope)
        config = context.gateway_state.config
        if config is None:
            refusal = Refusal(RefusalReason.NO_CONFIGURATION, DEFAULT_RETRY_AFTER_S)
            await self._refuse(send, incoming, refusal, arrived)
            return
        if isinstance(incoming, Unreadable):
            refusal = Refusal(RefusalReason.BAD_REQUEST, detail=incoming.detail)
            await self._refuse(send, incoming, refusal, arrived)
            return
        max_body_bytes = config.limits.max_body_bytes
        try:
            if _announced_bytes(scope["headers"]) > max_body_bytes:
                raise BodyTooLarge
            # Nothing of the call has run yet, so its time may end here.
            async with asyncio.timeout(_body_timeout_s(config, incoming)):
                body = await _read_body(receive, max_body_bytes)
        except BodyTooLarge:
            refusal = Refusal(RefusalReason.BODY_TOO_LARGE)
            await self._refuse(send, incoming, refusal, arrived)
            return
        except TimeoutError:
            refusal = Refusal(RefusalReason.BODY_TOO_SLOW, DEFAULT_RETRY_AFTER_S)
            await self._refuse(send, incoming, refusal, arrived)
            return
        # Read again: the configuration may have changed while the body was received.
        config = context.gateway_state.config
        call = self._build_call(config, incoming, arrived, body)
        if isinstance(call, Refusal):
            await self._refuse(send, incoming, call, arrived)
            return
        if self._is_stop_imminent():
            refusal = Refusal(RefusalReason.LEAVING, DEFAULT_RETRY_AFTER_S)
            await self._refuse(send, incoming, refusal, arrived, call)
            return
        closing_send = self._with_connection_close(send)
        relay = Relay(context, incoming, call, body, closing_send)
        end = scope.get("extensions", {}).get(CONNECTION_END)
        refusal = await self._run(relay, call, receive, end or ConnectionEnd())
        if refusal is not None:
            await self._refuse(send, incoming, refusal, arrived, call, relay.report)

    async def _run(
        self, relay: Relay, call: Call, receive: Receive, end: ConnectionEnd
    ) -> Refusal | None:
        """Run the relay until it ends or the caller's connection does.

        A non-idempotent call that a backend server is running continues without its
        caller: cancelled halfway, it would leave the caller's work in an unknown,
        partially executed state. One that isn't running ends: its caller may have sent
        it again.
        """
        running = asyncio.ensure_future(relay.run())
        disconnect_watch = asyncio.ensure_future(_wait_for_disconnect(receive))
        try:
            await asyncio.wait(
                (running, disconnect_watch), return_when=asyncio.FIRST_COMPLETED
            )
            if not running.done():
                is_running = relay.caller_left()
                if is_running and not (call.may_rerun or call.is_stream):
                    await asyncio.wait((running,))
            if running.done():
                return running.result()
            relay.report.caller_gone(end.closed_by or None, end.detail)
            raise CallerGone
        finally:
            disconnect_watch.cancel()
            if not running.done():
                running.cancel()
                await asyncio.wait((running,))

    def _is_stop_imminent(self) -> bool:
        """Whether a planned stop is so close to its end that a new call could be cut
        off.

        Callers reuse keep-alive connections for seconds after the balancer has stopped
        sending new ones; a stream accepted then would be cut off by the stop.
        """
        stop_deadline = self._context.stop_deadline
        return (
            stop_deadline is not None
            and self._context.clock() > stop_deadline - REFUSE_BEFORE_STOP_S
        )

    def _build_call(
        self, config: GatewayConfig, incoming: Incoming, arrived: float, body: bytes
    ) -> Call | Refusal:
        route = config.match(incoming.host, incoming.path)
        if route is None:
            return Refusal(RefusalReason.NO_ROUTE)
        customers = config.customers
        customer = customers.holder(incoming.key) if customers is not None else None
        if customers is not None and customer is None and not route.public:
            return Refusal(RefusalReason.UNKNOWN_KEY)
        service = route.pick_service(self._context.rng.random())
        if service is None:
            return Refusal(RefusalReason.NO_BACKEND, DEFAULT_RETRY_AFTER_S)
        spec = config.services.get(service)
        has_engine = spec is not None and spec.engine is not None
        return Call(
            request_id=incoming.request_id,
            route=route,
            service=service,
            arrived=arrived,
            deadline=arrived + _time_limit_s(route, incoming),
            first_event_due=arrived
            + (route.event_timeout_s or _time_limit_s(route, incoming)),
            model_request=incoming.model_request if has_engine else None,
            resume_after=incoming.resume_after,
            fingerprint=fingerprint(
                incoming.method, incoming.host, incoming.target, body
            ),
            keyed=customers is not None,
            key=incoming.key,
            customer=customer,
            tokens=incoming.tokens,
        )

    def _with_connection_close(self, send: Send) -> Send:
        async def wrapped_send(message: dict[str, Any]) -> None:
            if message["type"] == "http.response.start" and self._is_leaving():
                message["headers"].append((b"connection", b"close"))
            await send(message)

        return wrapped_send

    async def _refuse(
        self,
        send: Send,
        incoming: Incoming | Unreadable,
        refusal: Refusal,
        arrived: float,
        call: Call | None = None,
        report: CallReport | None = None,
    ) -> None:
        context = self._context
        parsed = incoming if isinstance(incoming, Incoming) else None
        config = context.gateway_state.config
        line = Refused(
            request=parsed.request_id if parsed else None,
            route=call.route.name if call else None,
            service=call.service if call else None,
            kind=call.route.kind.value if call else None,
            model=call.model_request.model if call and call.model_request else None,
            reason=refusal.reason.value,
            status=refusal.status,
            come_back_s=refusal.come_back_s,
            held_ms=round((context.clock() - arrived) * 1000),
            detail=refusal.detail,
            config_version=config.version if config else None,
            plan=refusal.plan,
            fingerprint=_crash_fingerprint(refusal, call),
            adapter=(
                (call.model_request.adapter or None)
                if call and call.model_request
                else None
            ),
            customer=call.customer.name if call and call.customer else None,
            cost=call.cost or None if call else None,
            quota=refusal.quota,
            backend=report.last_backend() if report else None,
            sent_ms=report.sent_ms() if report else None,
        )
        context.events.emit(line)
        body = refusal.reason.value.encode()
        headers = context.dialect.refusal_headers(parsed, refusal.come_back_s)
        if refusal.reason is RefusalReason.UNKNOWN_KEY:
            headers.append((b"www-authenticate", b"Bearer"))
        headers.append((b"content-length", b"%d" % len(body)))
        wrapped_send = self._with_connection_close(send)
        await wrapped_send(
            {
                "type": "http.response.start",
                "status": refusal.status,
                "headers": headers,
            }
        )
        await wrapped_send({"type": "http.response.body", "body": body})


class ReadinessPage:
    """The readiness page for the load balancer."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Answer 200 if the balancer may send new connections here, else 503."""
        resp.status = 200 if self._is_ready() else 503


def pages(ready_path: str, is_ready: Callable[[], bool]) -> falcon.asgi.App:
    """A Falcon application with the process's own pages."""
    app = falcon.asgi.App()
    app.add_route(ready_path, ReadinessPage(is_ready))
    return app


def _time_limit_s(route: Route | None, incoming: Incoming) -> float:
    times = [DEFAULT_TIMEOUT_S]
    if incoming.deadline_s is not None:
        times.append(incoming.deadline_s - ANSWER_MARGIN_S)
    if route is not None and route.timeout_s is not None:
        times.append(route.timeout_s)
    return max(0.0, min(times))


def _body_timeout_s(config: GatewayConfig, incoming: Incoming) -> float:
    """How long a call's body may take to arrive."""
    route = config.match(incoming.host, incoming.path)
    return _time_limit_s(route, incoming)


def _crash_fingerprint(refusal: Refusal, call: Call | None) -> str | None:
    because_of_crashes = (RefusalReason.QUARANTINED, RefusalReason.ISOLATED)
    if call is None or refusal.reason not in because_of_crashes:
        return None
    return call.fingerprint


async def _wait_for_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        continue


def _announced_bytes(headers: list[tuple[bytes, bytes]]) -> int:
    """The length that the head gives for the body, 0 if it gives none."""
    for name, value in headers:
        if name == b"content-length" and value.isdigit():
            return int(value)
    return 0


async def _read_body(receive: Receive, max_bytes: int) -> bytes:
    parts = []
    size = 0
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            raise CallerGone
        data = event.get("body", b"")
        size += len(data)
        if size > max_bytes:
            raise BodyTooLarge
        parts.append(data)
        if not event.get("more_body", False):
            return b"".join(parts)
