"""How a slot table is stored: JSON with a format version, checked when it is read.

The value may have been written by another release or by hand, so nothing in it is taken
on trust; whatever doesn't fit is reported with the name of the field.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from bambootiller_core.types import ModelKey

#: Readers refuse other formats instead of guessing at them.
FORMAT = 1

SlotRow = tuple[int, str, int, bool, str]


@dataclass(frozen=True, slots=True)
class Malformed:
    """The stored value isn't a slot table; ``detail`` names what is wrong."""

    detail: str


@dataclass(frozen=True, slots=True)
class Fields:
    """The fields of a stored table, each of its right type."""

    key: ModelKey
    template_version: int
    writer: str
    cap: int
    fence: int
    history: tuple[str, ...]
    slots: tuple[SlotRow, ...]


def encode_fields(
    *,
    key: ModelKey,
    template_version: int,
    writer: str,
    cap: int,
    fence: int,
    history: tuple[str, ...],
    slots: list[SlotRow],
) -> bytes:
    """The JSON of a table; equal tables give equal bytes."""
    names = ("number", "holder", "fence", "retiring", "region")
    document = {
        "format": FORMAT,
        "customer": key.customer,
        "model": key.model,
        "template_version": template_version,
        "writer": writer,
        "cap": cap,
        "fence": fence,
        "history": list(history),
        "slots": [dict(zip(names, row, strict=True)) for row in slots],
    }
    return json.dumps(document, sort_keys=True, separators=(",", ":")).encode()


def decode_fields(value: bytes) -> Fields | Malformed:
    """Read the JSON of a table."""
    try:
        document = json.loads(value)
    except ValueError as exc:
        return Malformed(f"not JSON: {exc}")
    try:
        return _fields(document)
    except _Wrong as exc:
        return Malformed(str(exc))


class _Wrong(ValueError):
    """A field isn't what it has to be. Never leaves this module."""


def _fields(document: Any) -> Fields:
    if not isinstance(document, dict):
        raise _Wrong(f"the value is {document!r}; an object is wanted")
    if document.get("format") != FORMAT:
        raise _Wrong(f"format is {document.get('format')!r}; only {FORMAT} is known")
    return Fields(
        key=ModelKey(_text(document, "customer"), _text(document, "model")),
        template_version=_whole(document, "template_version"),
        writer=_text(document, "writer"),
        cap=_whole(document, "cap"),
        fence=_whole(document, "fence"),
        history=tuple(_texts(document, "history")),
        slots=tuple(_slot(row) for row in _listed(document, "slots")),
    )


def _slot(row: Any) -> SlotRow:
    if not isinstance(row, dict):
        raise _Wrong(f"a slot is {row!r}; an object is wanted")
    retiring = row.get("retiring")
    if not isinstance(retiring, bool):
        raise _Wrong(f"retiring is {retiring!r}; true or false is wanted")
    return (
        _whole(row, "number"),
        _text(row, "holder"),
        _whole(row, "fence"),
        retiring,
        _text(row, "region") if "region" in row else "",
    )


def _text(document: dict[str, Any], name: str) -> str:
    value = document.get(name)
    if not isinstance(value, str):
        raise _Wrong(f"{name} is {value!r}; a string is wanted")
    return value


def _whole(document: dict[str, Any], name: str) -> int:
    value = document.get(name)
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise _Wrong(f"{name} is {value!r}; a whole number from 0 on is wanted")
    return value


def _listed(document: dict[str, Any], name: str) -> list[Any]:
    value = document.get(name)
    if not isinstance(value, list):
        raise _Wrong(f"{name} is {value!r}; a list is wanted")
    return value


def _texts(document: dict[str, Any], name: str) -> list[str]:
    values = _listed(document, name)
    if not all(isinstance(value, str) for value in values):
        raise _Wrong(f"{name} is {values!r}; a list of strings is wanted")
    return values
