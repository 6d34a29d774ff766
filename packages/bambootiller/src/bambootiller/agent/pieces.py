"""What an attempt puts out: the pieces of an answer, and how it ended."""

from __future__ import annotations

from dataclasses import dataclass

from bambootiller_core.outcomes import Refused


@dataclass(frozen=True, slots=True)
class Accepted:
    """The request was admitted; ``wait_ms`` is the estimate to its first token."""

    wait_ms: int
    cold: bool


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The status and headers of a plain service's answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    replayed: bool = False


@dataclass(frozen=True, slots=True)
class Text:
    """Tokens of a model's answer."""

    text: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Data:
    """Bytes of a plain service's answer."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Completed:
    """The backend server gave the whole answer."""

    tokens: int = 0
    finish_reason: str = ""
    replayed: bool = False


Piece = Accepted | AnswerHead | Text | Data
Final = Completed | Refused
