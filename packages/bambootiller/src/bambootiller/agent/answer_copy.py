"""A copy of a small answer, kept so that a repeat of the call gets the same one."""

from __future__ import annotations

from bambootiller.agent.pieces import AnswerHead, Completed, Data, Piece, Text
from bambootiller_core.claims import LARGEST_KEPT_ANSWER, KeptAnswer


class AnswerCopy:
    """Collects the pieces of one answer, up to a size beyond which it keeps none.

    Example::

        copy = AnswerCopy()
        copy.note(AnswerHead(201, ()))
        copy.note(Data(b"certificate 1"))
        copy.answer(Completed())   # KeptAnswer(201, (), b"certificate 1")
    """

    def __init__(self) -> None:
        self._status = 200
        self._headers: tuple[tuple[str, str], ...] = ()
        self._parts: list[bytes] | None = []
        self._size = 0

    def note(self, piece: Piece) -> None:
        """Take a copy of a piece."""
        match piece:
            case AnswerHead(status, headers):
                self._status, self._headers = status, headers
                self._keep(b"", sum(len(name) + len(value) for name, value in headers))
            case Data(data):
                self._keep(data, len(data))
            case Text(text):
                data = text.encode()
                self._keep(data, len(data))

    def answer(self, final: Completed) -> KeptAnswer | None:
        """The whole answer, or None if it is too large to be kept."""
        if self._parts is None:
            return None
        body = b"".join(self._parts)
        return KeptAnswer(
            self._status, self._headers, body, final.tokens, final.finish_reason
        )

    def _keep(self, part: bytes, size: int) -> None:
        self._size += size
        if self._size > LARGEST_KEPT_ANSWER:
            self._parts = None
        if self._parts is not None:
            self._parts.append(part)
