"""What differs between two templates, field by field.

    >>> before = {"models": {"tutor": {"replicas": 1}}}
    >>> after = {"models": {"tutor": {"replicas": 2}}}
    >>> [str(difference) for difference in differences(before, after)]
    ['models.tutor.replicas: 1 -> 2']

Lists without an order of their own (adapters, models of a caller) are compared as sets.
"""

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

ABSENT = "(absent)"
MOST_NAMES = 8


@dataclass(frozen=True, slots=True)
class Difference:
    """One field that changed; ``before`` and ``after`` are JSON, None where absent."""

    path: str
    before: str | None
    after: str | None

    def __str__(self) -> str:
        if self.before is not None and self.after is not None:
            lists = _text_lists(self.before, self.after)
            if lists is not None:
                return f"{self.path}: {_turnover(*lists)}"
        before = ABSENT if self.before is None else self.before
        after = ABSENT if self.after is None else self.after
        return f"{self.path}: {before} -> {after}"


def differences(
    before: Mapping[str, Any], after: Mapping[str, Any]
) -> tuple[Difference, ...]:
    """All differences, by path. The version is left out: it always differs."""
    left = {name: value for name, value in before.items() if name != "version"}
    right = {name: value for name, value in after.items() if name != "version"}
    return tuple(_walk(left, right, ""))


def _walk(left: Any, right: Any, path: str) -> Iterator[Difference]:
    if _are_parts(left, right):
        left, right = left or {}, right or {}
        for name in sorted(set(left) | set(right)):
            inner = f"{path}.{name}" if path else name
            yield from _walk(left.get(name), right.get(name), inner)
    elif not _same(left, right):
        yield Difference(path, _json(left), _json(right))


def _are_parts(left: Any, right: Any) -> bool:
    """Whether both have fields of their own; what is absent counts as without any."""
    present = [value for value in (left, right) if value is not None]
    return all(isinstance(value, Mapping) for value in present) and any(present)


def _same(left: Any, right: Any) -> bool:
    if _is_text_list(left) and _is_text_list(right):
        return sorted(left) == sorted(right)
    return left == right and type(left) is type(right)


def _is_text_list(value: Any) -> bool:
    return isinstance(value, list) and all(isinstance(entry, str) for entry in value)


def _json(value: Any) -> str | None:
    if value is None:
        return None
    return json.dumps(value, sort_keys=True, ensure_ascii=False)


def _text_lists(before: str, after: str) -> tuple[list[str], list[str]] | None:
    left, right = json.loads(before), json.loads(after)
    if _is_text_list(left) and _is_text_list(right):
        return left, right
    return None


def _turnover(before: list[str], after: list[str]) -> str:
    added = sorted(set(after) - set(before))
    removed = sorted(set(before) - set(after))
    parts = [f"+{name}" for name in added] + [f"-{name}" for name in removed]
    more = len(parts) - MOST_NAMES
    return " ".join(parts[:MOST_NAMES]) + (f" and {more} more" if more > 0 else "")
