"""The base class of all log lines."""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import Any, ClassVar


@dataclass(frozen=True, slots=True)
class LogLine:
    """The base class. ``failure`` lines take precedence if not all lines can be
    written."""

    event: ClassVar[str] = ""
    failure: ClassVar[bool] = True

    def to_json(self) -> dict[str, Any]:
        """The fields by name, without those that are None; nested data classes become
        mappings.

        >>> PeerHeard("10.0.0.1:7").to_json()
        {'peer': '10.0.0.1:7'}
        """
        return {
            item.name: _to_plain(getattr(self, item.name))
            for item in fields(self)
            if getattr(self, item.name) is not None
        }


def _to_plain(value: Any) -> Any:
    if hasattr(value, "__dataclass_fields__"):
        return {
            item.name: _to_plain(getattr(value, item.name))
            for item in fields(value)
            if getattr(value, item.name) is not None
        }
    if isinstance(value, tuple):
        return [_to_plain(item) for item in value]
    return value
