"""What the commands print: tables for people, one JSON document for programs.

Results go to standard output; progress and explanations of a failure go to standard
error, so that a pipe carries nothing but the result.
"""

import dataclasses
import enum
import json
import re
import sys
from collections.abc import Iterable, Sequence
from typing import Any

import click

MOST_WIDTH = 60


def as_plain(value: Any) -> Any:
    """A value as JSON data; data classes become objects."""
    if dataclasses.is_dataclass(value):
        names = [item.name for item in dataclasses.fields(value)]
        return {name: as_plain(getattr(value, name)) for name in names}
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, dict):
        return {str(name): as_plain(entry) for name, entry in value.items()}
    if isinstance(value, (list, tuple, set, frozenset)):
        return [as_plain(entry) for entry in value]
    return value


def as_document(outcome: Any) -> dict[str, Any]:
    """An outcome as a JSON object that carries its tag.

    >>> from bambootiller.operators.changes import Unchanged
    >>> as_document(Unchanged(3))
    {'outcome': 'unchanged', 'version': 3}
    """
    tag = re.sub(r"(?<!^)(?=[A-Z])", "_", type(outcome).__name__).lower()
    return {"outcome": tag, **as_plain(outcome)}


def print_json(value: Any) -> None:
    """Print one JSON document."""
    click.echo(json.dumps(as_plain(value), indent=2, ensure_ascii=False))


def table(headers: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """A table with a header, its columns as wide as they need to be.

    >>> print(table(["name", "n"], [["a", 1]]))
    name  n
    ----  -
    a     1
    """
    cells = [[_cell(value) for value in row] for row in rows]
    widths = [
        max(len(row[column]) for row in [list(headers), *cells])
        for column in range(len(headers))
    ]
    lines = [list(headers), ["-" * width for width in widths], *cells]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths)).rstrip()
        for line in lines
    )


def _cell(value: Any) -> str:
    text = "" if value is None else str(value)
    text = " ".join(text.split())
    return text if len(text) <= MOST_WIDTH else text[: MOST_WIDTH - 3] + "..."


class Progress:
    """One line on standard error that tells how far something is.

    On a terminal the line is rewritten in place; elsewhere each change is a line of its
    own, so that a log shows the course.
    """

    def __init__(self, label: str) -> None:
        self._label = label
        self._last = ""

    def __call__(self, done: int, total: int) -> None:
        text = f"{self._label}: {done} of {total} members"
        if text == self._last:
            return
        self._last = text
        on_terminal = sys.stderr.isatty()
        click.echo(f"\r{text}" if on_terminal else text, err=True, nl=not on_terminal)

    def close(self) -> None:
        """End the line."""
        if self._last and sys.stderr.isatty():
            click.echo("", err=True)
