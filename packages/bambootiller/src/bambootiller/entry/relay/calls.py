"""What is relayed: a validated request, and the pieces of its answer."""

from __future__ import annotations

from dataclasses import dataclass

from bambootiller.entry.border import ModelAsk
from bambootiller_core.outcomes import Final
from bambootiller_core.types import ModelKey, ModelTarget, Request

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class ServiceAsk:
    """A call of a plain service; ``path`` is spelled as the caller did, with query."""

    service: str
    method: str
    path: str
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class Call:
    """A request as it is decided on, and what the backend server is to get."""

    request: Request
    ask: ModelAsk | ServiceAsk

    @property
    def key(self) -> ModelKey:
        """What load figures are kept under; a service has a name no model can have."""
        target = self.request.target
        if isinstance(target, ModelTarget):
            return ModelKey(self.request.customer, target.model)
        return ModelKey(self.request.customer, f"services/{target.service}")


@dataclass(frozen=True, slots=True)
class Head:
    """The start of a plain service's answer."""

    status: int
    headers: Headers
    replayed: bool


@dataclass(frozen=True, slots=True)
class Text:
    """A piece of a model's answer."""

    text: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Data:
    """A piece of a plain service's answer."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Ended:
    """The last output, always: how the request ended.

    ``pieces`` counts the :class:`Text` or :class:`Data` before it, so that whoever
    writes them out can tell that none was lost on the way.
    """

    final: Final
    finish_reason: str
    pieces: int


Output = Head | Text | Data | Ended
