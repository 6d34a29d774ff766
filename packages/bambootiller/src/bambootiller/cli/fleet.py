"""``bambootiller status`` and ``bambootiller explain``."""

from typing import Any

import click

from bambootiller.cli.exits import Exit
from bambootiller.cli.outcomes import finish
from bambootiller.cli.output import Progress, print_json, table
from bambootiller.cli.wiring import json_option, wiring
from bambootiller.operators.members import (
    Explanation,
    Fleet,
    MemberStatus,
    NoAnswer,
    NoMembers,
    Survey,
)


@click.command()
@json_option
@click.pass_context
def status(ctx: click.Context, as_json: bool) -> None:
    """Show each member, what it has in force and whom it sees."""
    progress = Progress("asked")

    async def act(fleet: Fleet) -> Survey | NoMembers:
        return await fleet.survey(progress)

    survey = wiring(ctx).with_fleet(as_json, act)
    progress.close()
    if isinstance(survey, NoMembers):
        finish(survey, as_json)
    if as_json:
        print_json(survey)
    else:
        _print_survey(survey)
    ctx.exit(Exit.OK if survey.answers else Exit.UNREACHABLE)


def _print_survey(survey: Survey) -> None:
    latest = _latest_versions(survey)
    headers = ["instance", "role", "zone", "state", "sees", "templates", "behind"]
    rows = [_status_row(item, latest) for item in survey.answers]
    rows += [_silent_row(item) for item in survey.silent]
    click.echo(table(headers, rows))
    click.echo(f"{len(survey.answers)} members answer, {len(survey.silent)} don't")


def _latest_versions(survey: Survey) -> dict[str, int]:
    latest: dict[str, int] = {}
    for item in survey.answers:
        for customer, version in item.template_versions.items():
            latest[customer] = max(latest.get(customer, 0), version)
    return latest


def _status_row(item: MemberStatus, latest: dict[str, int]) -> list[Any]:
    versions = item.template_versions
    shown = [f"{customer}:{version}" for customer, version in sorted(versions.items())]
    behind = [
        f"{customer}:{version}"
        for customer, version in sorted(latest.items())
        if versions.get(customer, 0) < version
    ]
    state = "leaving" if item.leaving else "serving"
    sees = f"{item.members_alive}/{item.members_known}"
    where = [item.instance, item.role, item.zone, state, sees]
    return [*where, " ".join(shown), " ".join(behind)]


def _silent_row(item: NoAnswer) -> list[Any]:
    ref = item.ref
    return [ref.label, ref.role, ref.zone, "no answer", "", item.detail, ""]


@click.group()
def explain() -> None:
    """Say why: decisions with the figures that they were made on.

    Members keep the latest decisions in memory only; an old one may be gone.
    """


@explain.command("request")
@click.argument("request_id", metavar="ID")
@json_option
@click.pass_context
def explain_request(ctx: click.Context, request_id: str, as_json: bool) -> None:
    """Why a request was served where it was, or refused (its X-Request-Id)."""
    _explain(ctx, f"request/{request_id}", as_json)


@explain.command("model")
@click.argument("customer")
@click.argument("model")
@json_option
@click.pass_context
def explain_model(ctx: click.Context, customer: str, model: str, as_json: bool) -> None:
    """Why a model is or isn't loaded, and why its slots sit where they do."""
    _explain(ctx, f"model/{customer}/{model}", as_json)


@explain.command("instance")
@click.argument("name")
@json_option
@click.pass_context
def explain_instance(ctx: click.Context, name: str, as_json: bool) -> None:
    """What an instance did, and what the others make of it."""
    _explain(ctx, f"instance/{name}", as_json)


def _explain(ctx: click.Context, subject: str, as_json: bool) -> None:
    progress = Progress("asked")

    async def act(fleet: Fleet) -> Explanation | NoMembers:
        return await fleet.explain(subject, progress)

    found = wiring(ctx).with_fleet(as_json, act)
    progress.close()
    if isinstance(found, NoMembers):
        finish(found, as_json)
    if as_json:
        print_json(found)
    else:
        _print_explanation(found)
    ctx.exit(Exit.OK if found.found else Exit.REFUSED)


def _print_explanation(found: Explanation) -> None:
    for decisions in found.found:
        click.echo(f"{decisions.instance}:")
        for record in decisions.records:
            click.echo(_decision_line(record))
    if not found.found:
        click.echo(f"no member has a record about {found.subject}")
    for item in found.silent:
        click.echo(f"{item.ref.label} doesn't answer: {item.detail}", err=True)


def _decision_line(record: dict[str, Any]) -> str:
    age = record.get("age_s")
    when = f"{age:9.3f} s ago" if isinstance(age, (int, float)) else ""
    what = f"{record.get('kind', '')}: {record.get('outcome', '')}"
    figures = record.get("figures") or {}
    shown = ", ".join(f"{name} {value}" for name, value in figures.items())
    tail = f" ({shown})" if shown else ""
    return f"  {when}  {what}, because {record.get('reason', '')}{tail}"
