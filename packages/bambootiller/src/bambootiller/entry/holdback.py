"""Holding a plain service's answer back until it is known to be whole, if it is small.

Once a byte is with the caller, an answer that breaks off can neither be started over
nor be replaced by a refusal. Most answers of plain services are small, so their
beginning is kept until the agent says that nothing is missing. Long ones are passed on
from a certain size, and event streams at once, because there each event counts when it
comes.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass

from bambootiller.entry.relay.calls import Data, Ended, Head, Output
from bambootiller_core.outcomes import Refused

#: Answers up to this size are passed on whole or not at all. Bytes.
HOLD_BACK_BYTES = 256 * 1024

_PASSED_ON_AT_ONCE = "text/event-stream"


@dataclass(frozen=True, slots=True)
class Whole:
    """The whole answer."""

    head: Head
    body: bytes
    pieces: int
    ended: Ended


@dataclass(frozen=True, slots=True)
class Begun:
    """An answer whose beginning is passed on before its end is known."""

    head: Head
    body: bytes
    pieces: int


async def hold_back(outputs: AsyncIterator[Output]) -> Whole | Begun | Refused:
    """Take outputs until the answer is whole, refused, or too long to be kept."""
    head: Head | None = None
    kept: list[bytes] = []
    size = 0
    async for output in outputs:
        if isinstance(output, Head):
            # A second head is that of another attempt, which starts over.
            head, kept, size = output, [], 0
            if _at_once(head):
                return Begun(head, b"", 0)
        elif isinstance(output, Data):
            kept.append(output.data)
            size += len(output.data)
            if size > HOLD_BACK_BYTES:
                return Begun(head, b"".join(kept), len(kept))
        elif isinstance(output, Ended):
            if isinstance(output.final, Refused):
                return output.final
            return Whole(head, b"".join(kept), len(kept), output)
    raise RuntimeError("the outputs of a request stopped without an end")


def _at_once(head: Head) -> bool:
    return any(
        name == "content-type" and value.startswith(_PASSED_ON_AT_ONCE)
        for name, value in head.headers
    )
