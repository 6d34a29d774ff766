"""One attempt that this agent serves, with what the core needn't know of it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from bambootiller.agent.answer_copy import AnswerCopy
from bambootiller.agent.outbox import Outbox
from bambootiller.agent.pieces import Piece
from bambootiller_core.outcomes import Executed, Refused
from bambootiller_core.types import ModelTarget, Request


@dataclass(frozen=True, slots=True)
class ModelBody:
    """The caller's JSON for the engine, and what it already has of a cut answer."""

    api: str
    body: bytes
    continue_text: str = ""
    continue_tokens: int = 0


@dataclass(frozen=True, slots=True)
class ServiceBody:
    """What is forwarded to a plain service besides its method and path."""

    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(slots=True, eq=False)
class Call:
    """``name`` is the caller's request id; ``req.request_id`` is unique among all
    attempts here.

    ``sent`` turns true just before the first byte may go to the backend server, and
    back only if no connection was made. Whatever is told of the call rests on it.
    ``first_piece`` is called when the answer begins; ``copy`` is set while the answer
    is kept for repeats; ``taken_elsewhere`` tells whether another attempt has claimed
    the call and may run it.
    """

    name: str
    req: Request
    body: ModelBody | ServiceBody
    outbox: Outbox = field(default_factory=Outbox)
    task: asyncio.Task | None = None
    sent: bool = False
    first_piece: Callable[[], None] | None = None
    copy: AnswerCopy | None = None
    taken_elsewhere: Callable[[], bool] = lambda: False

    @property
    def is_model(self) -> bool:
        """Whether the call goes to the engine."""
        return isinstance(self.req.target, ModelTarget)

    async def put(self, piece: Piece) -> None:
        """Pass a piece of the answer on, once there is room for it."""
        first, self.first_piece = self.first_piece, None
        if first is not None:
            first()
        if self.copy is not None:
            self.copy.note(piece)
        await self.outbox.put(piece)

    def aborted(self, refused: Refused) -> Refused:
        """The refusal of a started call, with what is known here of whether it has run.

        A call that has been sent may have run, whoever refuses it and why. One that
        hasn't been sent never will be, because its task is ended with the refusal; but
        if it waits for the answer of another attempt, the caller's call may have run.
        """
        may_have_run = self.sent or self.taken_elsewhere()
        executed = Executed.UNKNOWN if may_have_run else Executed.NO
        return replace(refused, executed=executed)
