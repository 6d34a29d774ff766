"""The connection of a caller as the answer to one request uses it.

Example::

    request.transport = AnswerTransport(transport, close_after_answer)
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class AnswerTransport:
    """Writes to a transport; closing it calls ``close`` instead, which may wait until
    the caller has read the answer."""

    def __init__(self, transport: asyncio.Transport, close: Callable[[], None]) -> None:
        self.write = transport.write
        self.is_closing = transport.is_closing
        self.close = close
