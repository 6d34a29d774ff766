"""Settings of the two programs, from flags and environment variables.

The fields of :class:`Settings` are the one table: each carries a :class:`Row` with its
parser, default, roles, help and units. The command line's options, the reading of the
environment, the messages and the list that ``bambootiller settings`` prints all derive
from these rows.

A flag goes before its variable, and a variable before the default. An empty variable
counts as not set, because unit files and container specifications often pass one on.

    >>> flags = {"instance": "i-1", "zone": "az-1", "region": "r1"}
    >>> env = {"BAMBOOTILLER_KV_URL": "http://127.0.0.1:2379"}
    >>> cfg = load_settings("entry", flags, env)
    >>> cfg.drain_seconds
    30.0

Durations are in the unit that the field's name ends in. Settings hold for the life of a
process; what operators change while it runs stands in the templates instead.
"""

import enum
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import click

from bambootiller._parsers import Address, ServiceUrl
from bambootiller._settings_table import (
    AGENT,
    ENTRY,
    HIDDEN,
    OPERATOR,
    ROLES,
    Row,
    Settings,
    rows,
)
from bambootiller.kv import ADAPTERS

__all__ = [
    "AGENT",
    "Address",
    "ENTRY",
    "Examined",
    "OPERATOR",
    "Origin",
    "Problem",
    "ROLES",
    "Resolved",
    "Row",
    "ServiceUrl",
    "Settings",
    "SettingsRejected",
    "click_options",
    "load_settings",
    "examine",
    "rows",
]


class Origin(enum.Enum):
    """Where a value came from."""

    FLAG = "flag"
    VARIABLE = "variable"
    DEFAULT = "default"


@dataclass(frozen=True, slots=True)
class Resolved:
    """A row with the value in force and its origin."""

    row: Row
    value: Any
    origin: Origin


@dataclass(frozen=True, slots=True)
class Problem:
    """One setting that isn't usable; ``value`` is None if it is missing."""

    flag: str
    variable: str
    value: str | None
    allowed: str

    def __str__(self) -> str:
        given = "is missing" if self.value is None else f"has the value {self.value!r}"
        return (
            f"{self.flag} (variable {self.variable}) {given}; allowed: {self.allowed}"
        )


@dataclass(frozen=True, slots=True)
class SettingsRejected:
    """Outcome of a start with bad settings; it lists every problem, not just one."""

    problems: tuple[Problem, ...]

    def __str__(self) -> str:
        return "\n".join(str(problem) for problem in self.problems)


@dataclass(frozen=True, slots=True)
class Examined:
    """The rows that have a value, and every problem found."""

    resolved: tuple[Resolved, ...]
    problems: tuple[Problem, ...]


def examine(role: str, flags: Mapping[str, Any], env: Mapping[str, str]) -> Examined:
    """Find the value in force and the origin of each row of ``role``, good or bad.

    ``flags`` maps names of rows to the text given on the command line, or to None;
    names that are no rows are left alone, so that a command may have its own arguments.
    """
    outcomes = [_resolve_row(row, role, flags, env) for row in rows(role)]
    problems = [item for item in outcomes if isinstance(item, Problem)]
    resolved = tuple(item for item in outcomes if isinstance(item, Resolved))
    if not problems:
        problems = _cross_checks(role, {item.row.name: item for item in resolved})
    return Examined(resolved, tuple(problems))


def load_settings(
    role: str, flags: Mapping[str, Any], env: Mapping[str, str]
) -> Settings | SettingsRejected:
    """The settings of a process in ``role``, or every reason why it mustn't start."""
    found = examine(role, flags, env)
    if found.problems:
        return SettingsRejected(found.problems)
    return Settings(**{item.row.name: item.value for item in found.resolved})


def click_options(role: str | None) -> Callable[[Callable], Callable]:
    """Decorator that gives a click command an option for each row of ``role``.

    Without a role it gives an option for every row of the table.

    The options hand on text. Parsing is left to :func:`load_settings`, so that a bad
    flag and a bad variable get the same message.

        @click.command()
        @click_options(ENTRY)
        def entry(**flags): ...
    """

    def decorate(command: Callable) -> Callable:
        for row in reversed(rows(role)):
            command = click.option(
                row.flag,
                row.name,
                default=None,
                metavar=row.units.upper() or "VALUE",
                help=_option_help(row, role),
            )(command)
        return command

    return decorate


def _option_help(row: Row, role: str | None) -> str:
    notes = [row.variable]
    if role in row.required:
        notes.append("required")
    elif row.shown(row.default):
        notes.append(f"default {row.shown(row.default)}")
    return f"{row.help} [{'; '.join(notes)}]"


def _resolve_row(
    row: Row, role: str, flags: Mapping[str, Any], env: Mapping[str, str]
) -> Resolved | Problem:
    text, origin = flags.get(row.name), Origin.FLAG
    if text is None:
        text, origin = env.get(row.variable) or None, Origin.VARIABLE
    if text is None:
        if role in row.required:
            return Problem(row.flag, row.variable, None, row.allowed)
        return Resolved(row, row.default, Origin.DEFAULT)
    try:
        return Resolved(row, row.parse(text), origin)
    except ValueError:
        shown = HIDDEN if row.secret else text
        return Problem(row.flag, row.variable, shown, row.allowed)


def _cross_checks(role: str, found: Mapping[str, Resolved]) -> list[Problem]:
    """What no row can see by itself: rows that are only allowed together."""
    problems = []
    tls = [found[name] for name in ("tls_cert", "tls_key", "tls_ca")]
    if any(item.value for item in tls):
        allowed = "all three of --tls-cert, --tls-key and --tls-ca, or none"
        missing = [item.row for item in tls if not item.value]
        problems += [Problem(row.flag, row.variable, None, allowed) for row in missing]
    kv_url = found["kv_url"]
    if len({ADAPTERS.name_of(url) for url in kv_url.value}) > 1:
        row = kv_url.row
        allowed = f"{row.allowed}, all of one form"
        problems.append(
            Problem(row.flag, row.variable, row.shown(kv_url.value), allowed)
        )
    if role == AGENT and not found["engine_url"].value and not found["services"].value:
        row = found["engine_url"].row
        allowed = f"{row.allowed}, unless --services names a plain service"
        problems.append(Problem(row.flag, row.variable, None, allowed))
    return problems
