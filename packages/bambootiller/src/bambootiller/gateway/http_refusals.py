"""Refusals by the HTTP server itself, of requests that no application has seen."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

#: When to come back after a refusal for want of memory. Seconds.
NO_MEMORY_RETRY_AFTER_S = 1


@dataclass(frozen=True, slots=True)
class HeadRefusal:
    """Why a request was refused, and the status line that its sender gets."""

    reason: str
    status: int
    phrase: str
    retry_after_s: int | None = None

    def answer(self) -> bytes:
        """The whole answer; it closes the connection.

        >>> MALFORMED.answer().split(b"\\r\\n")[0]
        b'HTTP/1.1 400 Bad Request'
        """
        head = [
            f"HTTP/1.1 {self.status} {self.phrase}",
            "content-length: 0",
            "connection: close",
        ]
        if self.retry_after_s is not None:
            head.append(f"retry-after: {self.retry_after_s}")
        return "\r\n".join(head).encode() + b"\r\n\r\n"


OnHeadRefused = Callable[[HeadRefusal], None]

MALFORMED = HeadRefusal("bad_request", 400, "Bad Request")
TOO_LARGE = HeadRefusal("head_too_large", 431, "Request Header Fields Too Large")
TRAILER_TOO_LARGE = HeadRefusal(
    "trailer_too_large", 431, "Request Header Fields Too Large"
)
TOO_MANY_PARTS = HeadRefusal("body_too_large", 413, "Content Too Large")
TOO_SLOW = HeadRefusal("head_too_slow", 408, "Request Timeout")
NO_MEMORY = HeadRefusal(
    "no_memory", 503, "Service Unavailable", NO_MEMORY_RETRY_AFTER_S
)
