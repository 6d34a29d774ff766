"""``GET /healthz`` and ``GET /readyz``, for whatever balances callers over entries."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import asdict, dataclass

import falcon.asgi

from bambootiller_core.outcomes import HTTP_STATUS, Code


@dataclass(frozen=True, slots=True)
class Readiness:
    """Whether new requests should come here.

    ``accepting_ms`` is for how long they are still taken although they shouldn't come.
    """

    ready: bool
    configured: bool
    agents_seen: bool
    leaving: bool
    accepting_ms: int = 0


class HealthResource:
    """The process runs and its loop turns; nothing more is said."""

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Answer 200."""
        resp.content_type = falcon.MEDIA_JSON
        resp.data = b'{"alive": true}'


class ReadyResource:
    """200 if new requests should come here, 503 if not, with the reason."""

    def __init__(self, readiness: Callable[[], Readiness]) -> None:
        self._readiness = readiness

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Answer whether this entry is ready."""
        readiness = self._readiness()
        resp.content_type = falcon.MEDIA_JSON
        resp.data = json.dumps(asdict(readiness)).encode()
        if not readiness.ready:
            resp.status = HTTP_STATUS[Code.NOT_READY]
