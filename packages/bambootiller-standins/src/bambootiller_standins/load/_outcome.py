"""What became of one request of a load run."""

import enum
from dataclasses import dataclass


class Verdict(enum.StrEnum):
    """The kinds of outcome that the load tool tells apart.

    ``refused`` and ``broken_off`` carry the code of the problem. ``wrong`` is an answer
    that isn't the whole answer to this very request. ``cut`` is a stream that ended
    with neither its end mark nor a problem. ``failed`` is a connection error, and
    ``unfinished`` a request without an answer when the run ended.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    BROKEN_OFF = "broken_off"
    WRONG = "wrong"
    CUT = "cut"
    FAILED = "failed"
    UNFINISHED = "unfinished"


@dataclass(frozen=True, slots=True)
class Outcome:
    """One request's end; times are seconds since it was sent."""

    number: int
    model: str
    caller: str
    verdict: Verdict
    code: str = ""
    executed: str = ""
    first_token: float | None = None
    between_tokens: tuple[float, ...] = ()
    total: float = 0.0
