"""How each outcome ends a command: its exit code and what a person is told.

The outcomes are registered by type. A command hands its outcome to :func:`finish`, and
so the same outcome reads the same wherever it comes from.
"""

import sys
from dataclasses import dataclass
from functools import singledispatch
from typing import Any, NoReturn

import click

from bambootiller.cli.exits import Exit
from bambootiller.cli.output import as_document, print_json
from bambootiller.operators.audit import AuditRecord
from bambootiller.operators.changes import (
    Applied,
    BadDocument,
    KeyTaken,
    LostRace,
    OutcomeUnknown,
    Unchanged,
)
from bambootiller.operators.members import NoMembers
from bambootiller.operators.waiting import InForce, NotInForce
from bambootiller.settings import SettingsRejected
from bambootiller.templates import TemplateRejected
from bambootiller_core.ports import Unavailable

#: A first template differs in every field; an acceptance needn't repeat them all.
MOST_LINES = 12


@dataclass(frozen=True, slots=True)
class Ending:
    """An exit code with the text for people."""

    code: Exit
    text: str


@dataclass(frozen=True, slots=True)
class NoTemplate:
    """The customer has no template."""

    customer: str


def finish(outcome: Any, as_json: bool) -> NoReturn:
    """Print an outcome and exit with its code."""
    show(outcome, as_json)
    sys.exit(ending(outcome).code)


def show(outcome: Any, as_json: bool) -> None:
    """Print an outcome; a failure's text goes to standard error."""
    if as_json:
        print_json(as_document(outcome))
    else:
        found = ending(outcome)
        click.echo(found.text, err=found.code is not Exit.OK)


def record_lines(record: AuditRecord) -> list[str]:
    """An audit record for people, one difference a line."""
    reason = f": {record.reason}" if record.reason else ""
    lines = [f"version {record.version} by {record.who} at {record.when}{reason}"]
    lines += [f"    {difference}" for difference in record.differences]
    if record.more:
        lines.append(f"    and {record.more} more differences")
    return lines


@singledispatch
def ending(outcome: Any) -> Ending:
    """The exit code and text of an outcome."""
    raise TypeError(f"no ending is registered for {type(outcome).__name__}")


@ending.register
def _(outcome: Applied) -> Ending:
    record = outcome.record
    lines = [f"{record.customer}: version {record.version} is accepted"]
    listed = record_lines(record)[1:]
    lines += listed[:MOST_LINES]
    if len(listed) > MOST_LINES:
        lines.append(f"    ... (all in `bambootiller audit {record.customer}`)")
    return Ending(Exit.OK, "\n".join(lines))


@ending.register
def _(outcome: Unchanged) -> Ending:
    text = f"version {outcome.version} already says this; nothing was written"
    return Ending(Exit.OK, text)


@ending.register
def _(outcome: LostRace) -> Ending:
    lines = [
        f"{outcome.customer}: not applied, because version {outcome.current_version}"
        f" stands and this change started from version {outcome.base_version}."
    ]
    for record in outcome.records:
        lines += record_lines(record)
    lines.append(
        "Nothing was written. Look at `bambootiller template diff`, then apply again."
    )
    return Ending(Exit.REFUSED, "\n".join(lines))


@ending.register
def _(outcome: KeyTaken) -> Ending:
    text = (
        f"callers.{outcome.caller}.key_sha256: the key of caller"
        f" {outcome.other_caller!r} of customer {outcome.other_customer!r};"
        " allowed: a key of its own (see: bambootiller key new)"
    )
    return Ending(Exit.REFUSED, text)


@ending.register
def _(outcome: OutcomeUnknown) -> Ending:
    text = (
        f"{outcome.customer}: the outcome is unknown ({outcome.detail}). Version"
        f" {outcome.version} may or may not be in force, or may yet be. Once the"
        " key-value service answers, look for token"
        f" {outcome.token} in `bambootiller audit {outcome.customer} --json`; apply"
        " again only if it isn't there."
    )
    return Ending(Exit.UNKNOWN, text)


@ending.register
def _(outcome: BadDocument) -> Ending:
    text = f"{outcome.key} can't be read as a template: {outcome.detail}"
    return Ending(Exit.REFUSED, text)


@ending.register
def _(outcome: NoTemplate) -> Ending:
    text = f"customer {outcome.customer!r} has no template"
    return Ending(Exit.REFUSED, text)


@ending.register
def _(outcome: Unavailable) -> Ending:
    text = f"the key-value service is out of reach: {outcome.detail}"
    return Ending(Exit.UNREACHABLE, f"{text}. Nothing was changed.")


@ending.register
def _(outcome: NoMembers) -> Ending:
    return Ending(Exit.UNREACHABLE, f"no member to ask: {outcome.detail}")


@ending.register
def _(outcome: TemplateRejected) -> Ending:
    return Ending(Exit.INVALID, str(outcome))


@ending.register
def _(outcome: SettingsRejected) -> Ending:
    return Ending(Exit.INVALID, str(outcome))


@ending.register
def _(outcome: InForce) -> Ending:
    text = (
        f"{outcome.customer}: version {outcome.version} is in force on all"
        f" {outcome.members} members after {outcome.seconds:.1f} s"
    )
    return Ending(Exit.OK, text)


@ending.register
def _(outcome: NotInForce) -> Ending:
    lines = [
        f"{outcome.customer}: version {outcome.version} is accepted, but not seen in"
        f" force on all {outcome.members} members:"
    ]
    lines += [
        f"    {item.instance}: version {item.version}" for item in outcome.lagging
    ]
    lines += [f"    {item.ref.label}: {item.detail}" for item in outcome.silent]
    if outcome.detail:
        lines.append(f"    {outcome.detail}")
    return Ending(Exit.NOT_EVERYWHERE, "\n".join(lines))
