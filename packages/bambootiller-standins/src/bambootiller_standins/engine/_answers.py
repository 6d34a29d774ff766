"""The answers of the engine stand-in: a pure function of model, adapter, prompt and
place in the answer.

So a test, or the load tool, can tell whether a caller got the whole answer to its own
request and nothing else.
"""

import hashlib
from collections.abc import Sequence

DEFAULT_MAX_TOKENS = 16
PREFIX_CHARACTERS = 256
_TOKEN_DIGITS = 4
_PREFIX_DIGITS = 16
_SEPARATOR = "\x00"


def split_model(name: str) -> tuple[str, str]:
    """Splits ``name`` or ``name:adapter`` into model and adapter; no adapter is an
    empty string.

    >>> split_model("tutor:grade-4")
    ('tutor', 'grade-4')
    """
    model, _, adapter = name.partition(":")
    return model, adapter


class AnswerTokens(Sequence[str]):
    """The tokens of an answer from place *first* on, each worked out when it is read.

    >>> list(AnswerTokens("tutor", "", "hello", 5, first=5))
    []
    """

    def __init__(
        self, model: str, adapter: str, prompt: str, max_tokens: int, first: int = 0
    ) -> None:
        seed = _SEPARATOR.join((model, adapter, prompt))
        self._start = hashlib.sha256(seed.encode())
        self._places = range(first, max_tokens)

    def __len__(self) -> int:
        return len(self._places)

    def __getitem__(self, index: int) -> str:
        digest = self._start.copy()
        digest.update(f"{_SEPARATOR}{self._places[index]}".encode())
        return digest.hexdigest()[:_TOKEN_DIGITS] + " "


def expected_answer(model: str, adapter: str, prompt: str, max_tokens: int) -> str:
    """Returns the whole text that the engine gives for a request.

    *prompt* is the text of a completion, or :func:`chat_prompt` of a chat's messages.
    An answer has exactly *max_tokens* tokens.

    >>> whole = expected_answer("tutor", "", "hello", 5)
    >>> whole.startswith(expected_answer("tutor", "", "hello", 3))
    True
    """
    return "".join(AnswerTokens(model, adapter, prompt, max_tokens))


def chat_prompt(messages: list[dict]) -> str:
    """Returns the one text that stands for the messages of a chat.

    >>> chat_prompt([{"role": "user", "content": "why does it not build?"}])
    'user: why does it not build?'
    """
    return "\n".join(
        f"{message.get('role', 'user')}: {_content(message.get('content'))}"
        for message in messages
    )


def prefix_of(model: str, adapter: str, prompt: str) -> str:
    """Returns the name under which the start of a prompt is cached."""
    seed = _SEPARATOR.join((model, adapter, prompt[:PREFIX_CHARACTERS]))
    return hashlib.sha256(seed.encode()).hexdigest()[:_PREFIX_DIGITS]


def _content(content: object) -> str:
    if isinstance(content, list):
        return "".join(part.get("text", "") for part in content)
    return "" if content is None else str(content)
