"""The page of all settings, docs/settings.md, written from the table of settings.

A page written by hand falls behind the table, and an operator then sets a flag that is
no more. A test compares the page with what this module writes.
"""

from bambootiller.settings import Row, rows

HEADERS = ("flag", "read by", "default", "allowed", "what it is")

HEAD = """\
# Settings

Written by `bambootiller settings --page`; don't change it by hand.

The variable of a flag is its name in capitals behind `BAMBOOTILLER_`, with underscores:
`--kv-url` is `BAMBOOTILLER_KV_URL`. A flag goes before its variable; an empty variable
counts as not set. Settings hold for the life of a process. "required" stands where a
process doesn't start without a value; the operators' tool starts without, and asks for
what a command needs.
"""


def settings_page() -> str:
    """The whole page, ending in a line break."""
    lines = [HEAD, _line(HEADERS), _line(["---"] * len(HEADERS))]
    lines += [_line(_cells(row)) for row in rows()]
    return "\n".join(lines) + "\n"


def _cells(row: Row) -> tuple[str, ...]:
    return (
        f"`{row.flag}`",
        ", ".join(row.roles),
        _default(row),
        _unbroken(row.allowed),
        _unbroken(row.help),
    )


def _default(row: Row) -> str:
    if row.required:
        return "required"
    shown = row.shown(row.default)
    return f"{shown} {row.units}".strip() if shown else "not set"


def _unbroken(text: str) -> str:
    """Text that can't end a table's cell."""
    return text.replace("|", "\\|")


def _line(cells: tuple[str, ...] | list[str]) -> str:
    return "| " + " | ".join(cells) + " |"
