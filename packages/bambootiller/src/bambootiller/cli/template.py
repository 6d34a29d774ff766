"""``bambootiller template ...`` and ``bambootiller audit``."""

import json
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import click

from bambootiller.cli.outcomes import NoTemplate, ending, finish, record_lines, show
from bambootiller.cli.output import Progress, as_document, print_json, table
from bambootiller.cli.wiring import Wiring, fail_usage, json_option, wiring
from bambootiller.operators.audit import AuditRecord, Unreadable
from bambootiller.operators.changes import (
    Applied,
    ApplyOutcome,
    Changes,
    Stored,
    Unchanged,
)
from bambootiller.operators.differences import differences
from bambootiller.operators.waiting import InForce, NotInForce, wait_in_force
from bambootiller.templates import Draft, TemplateRejected, parse_draft, read_text
from bambootiller_core.ports import Unavailable

file_argument = click.argument(
    "file", type=click.Path(exists=True, dir_okay=False, path_type=Path)
)
set_option = click.option(
    "--set",
    "assignments",
    multiple=True,
    metavar="NAME=VALUE",
    help="Give a parameter another value; VALUE is JSON, or else text.",
)
reason_option = click.option(
    "--reason", required=True, help="Why, for the audit record."
)
wait_option = click.option(
    "--wait", is_flag=True, help="Wait until all members have the change in force."
)
timeout_option = click.option(
    "--timeout",
    type=click.FloatRange(min=0, max=3600),
    default=30.0,
    show_default=True,
    help="Longest time for --wait, in seconds.",
)


@click.group()
def template() -> None:
    """Check, change and compare customers' templates."""


@template.command()
@file_argument
@set_option
@json_option
def check(file: Path, assignments: tuple[str, ...], as_json: bool) -> None:
    """Check a template FILE (.toml, or JSON) without touching anything."""
    found = _read(file, assignments, as_json).template
    counts = {
        "models": len(found.models),
        "services": len(found.services),
        "callers": len(found.callers),
    }
    if as_json:
        print_json({"outcome": "valid", "customer": found.customer, **counts})
        return
    text = ", ".join(f"{number} {name}" for name, number in counts.items())
    click.echo(f"{file}: valid, customer {found.customer}: {text}")


@template.command()
@file_argument
@set_option
@reason_option
@wait_option
@timeout_option
@json_option
@click.pass_context
def apply(
    ctx: click.Context,
    file: Path,
    assignments: tuple[str, ...],
    reason: str,
    wait: bool,
    timeout: float,
    as_json: bool,
) -> None:
    """Put the template in FILE in force.

    A FILE that has a version is applied only if that is the version in force: edit what
    `template show` printed, and nobody's change in between is lost.
    """
    draft = _read(file, assignments, as_json)
    world = wiring(ctx)
    author = world.author(as_json, reason)

    async def act(kv: Any) -> ApplyOutcome:
        return await Changes(kv).apply(draft, author, world.pause)

    outcome = world.with_kv(as_json, act)
    _finish_change(world, draft.template.customer, outcome, wait, timeout, as_json)


@template.command("set")
@click.argument("customer")
@click.argument("assignments", nargs=-1, required=True, metavar="NAME=VALUE...")
@reason_option
@wait_option
@timeout_option
@json_option
@click.pass_context
def set_parameters(
    ctx: click.Context,
    customer: str,
    assignments: tuple[str, ...],
    reason: str,
    wait: bool,
    timeout: float,
    as_json: bool,
) -> None:
    """Change parameters of the template in force, without its file."""
    world = wiring(ctx)
    author = world.author(as_json, reason)

    async def act(kv: Any) -> Any:
        changes = Changes(kv)
        stored = await changes.read(customer)
        if not isinstance(stored, Stored):
            return stored
        if not stored.version:
            return NoTemplate(customer)
        draft = parse_draft(_with_parameters(stored.document, assignments))
        if isinstance(draft, TemplateRejected):
            return draft
        return await changes.apply(draft, author, world.pause)

    outcome = world.with_kv(as_json, act)
    _finish_change(world, customer, outcome, wait, timeout, as_json)


@template.command()
@file_argument
@set_option
@json_option
@click.pass_context
def diff(
    ctx: click.Context, file: Path, assignments: tuple[str, ...], as_json: bool
) -> None:
    """Show what applying FILE would change."""
    draft = _read(file, assignments, as_json)
    stored = _stored(wiring(ctx), draft.template.customer, as_json)
    found = differences(stored.document, draft.written)
    if as_json:
        print_json({"version": stored.version, "differences": found})
        return
    click.echo(f"against version {stored.version} of {stored.customer}:")
    for difference in found:
        click.echo(f"    {difference}")
    if not found:
        click.echo("    no difference")


@template.command("show")
@click.argument("customer")
@json_option
@click.pass_context
def show_template(ctx: click.Context, customer: str, as_json: bool) -> None:
    """Print the customer's template in force, as JSON that can be applied again."""
    stored = _stored(wiring(ctx), customer, as_json)
    if not stored.version:
        finish(NoTemplate(customer), as_json)
    print_json(stored.document)


@template.command()
@click.argument("customer")
@json_option
@click.pass_context
def history(ctx: click.Context, customer: str, as_json: bool) -> None:
    """List the versions of a customer's template, latest last."""
    records = _trail(wiring(ctx), customer, as_json)
    if as_json:
        print_json([as_document(record) for record in records])
        return
    headers = ["version", "when", "who", "fields", "reason"]
    click.echo(table(headers, [_history_row(record) for record in records]))


@click.command()
@click.argument("customer", required=False)
@click.option(
    "--last",
    type=click.IntRange(1, 10_000),
    default=50,
    show_default=True,
    help="How many records, the latest.",
)
@json_option
@click.pass_context
def audit(ctx: click.Context, customer: str | None, last: int, as_json: bool) -> None:
    """Show who changed what, when and why, for one customer or all."""
    records = _trail(wiring(ctx), customer, as_json)
    records = tuple(sorted(records, key=_when))[-last:]
    if as_json:
        print_json([as_document(record) for record in records])
        return
    for record in records:
        if isinstance(record, Unreadable):
            click.echo(f"a record that can't be read: {record.detail}")
            continue
        head, *rest = record_lines(record)
        click.echo(f"{record.customer} {head}")
        for line in rest:
            click.echo(line)


def _finish_change(
    world: Wiring,
    customer: str,
    outcome: Any,
    wait: bool,
    timeout: float,
    as_json: bool,
) -> None:
    if not wait or not isinstance(outcome, (Applied, Unchanged)):
        finish(outcome, as_json)
    changed = isinstance(outcome, Applied)
    version = outcome.record.version if changed else outcome.version
    if not as_json:
        show(outcome, as_json)
    waited = world.with_fleet(as_json, _waiting(world, customer, version, timeout))
    if as_json:
        print_json({**as_document(outcome), "wait": as_document(waited)})
        raise SystemExit(ending(waited).code)
    finish(waited, as_json)


def _waiting(
    world: Wiring, customer: str, version: int, timeout: float
) -> Callable[[Any], Awaitable[InForce | NotInForce]]:
    progress = Progress(f"version {version} in force on")

    async def act(fleet: Any) -> InForce | NotInForce:
        try:
            return await wait_in_force(
                fleet,
                customer,
                version,
                timeout=timeout,
                now=world.now,
                sleep=world.sleep,
                progress=progress,
            )
        finally:
            progress.close()

    return act


def _read(file: Path, assignments: tuple[str, ...], as_json: bool) -> Draft:
    try:
        text = file.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        fail_usage(f"FILE {file}: {exc}; allowed: a readable file of UTF-8 text")
    outcome = read_text(text, is_toml=file.suffix == ".toml")
    if isinstance(outcome, Draft) and assignments:
        outcome = parse_draft(_with_parameters(outcome.written, assignments))
    if isinstance(outcome, TemplateRejected):
        finish(outcome, as_json)
    return outcome


def _with_parameters(document: Any, assignments: tuple[str, ...]) -> dict[str, Any]:
    """The document with other values for parameters that it already has."""
    parameters = dict(document.get("parameters", {}))
    for assignment in assignments:
        name, sign, text = assignment.partition("=")
        if not sign or name not in parameters:
            names = ", ".join(sorted(parameters)) or "the template has none"
            fail_usage(f"{assignment!r}; allowed: NAME=VALUE, NAME one of: {names}")
        parameters[name] = _value(text)
    return {**document, "parameters": parameters}


def _value(text: str) -> Any:
    try:
        return json.loads(text)
    except ValueError:
        return text


def _stored(world: Wiring, customer: str, as_json: bool) -> Stored:
    outcome = world.with_kv(as_json, lambda kv: Changes(kv).read(customer))
    if not isinstance(outcome, Stored):
        finish(outcome, as_json)
    return outcome


def _trail(
    world: Wiring, customer: str | None, as_json: bool
) -> tuple[AuditRecord | Unreadable, ...]:
    outcome = world.with_kv(as_json, lambda kv: Changes(kv).trail(customer))
    if isinstance(outcome, Unavailable):
        finish(outcome, as_json)
    return outcome


def _history_row(record: AuditRecord | Unreadable) -> list[Any]:
    if isinstance(record, Unreadable):
        return ["?", "", "", "", record.detail]
    fields = len(record.differences) + record.more
    return [record.version, record.when, record.who, fields, record.reason]


def _when(record: AuditRecord | Unreadable) -> str:
    return record.when if isinstance(record, AuditRecord) else ""
