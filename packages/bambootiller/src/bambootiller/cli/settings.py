"""``bambootiller settings``: every setting, its value and where it comes from."""

from typing import Any

import click

from bambootiller.cli.exits import Exit
from bambootiller.cli.output import print_json, table
from bambootiller.cli.settings_page import settings_page
from bambootiller.cli.wiring import json_option, wiring
from bambootiller.settings import (
    ROLES,
    Examined,
    Resolved,
    Row,
    click_options,
    examine,
    rows,
)

#: Stands for the origin of a setting that is missing or has a bad value.
NOT_USABLE = "not usable"


@click.command()
@click.option(
    "--role",
    type=click.Choice(ROLES),
    default="operator",
    show_default=True,
    help="Whose settings: bambootillerd entry, bambootillerd agent, or this program.",
)
@click.option("--page", is_flag=True, help="Print docs/settings.md, and nothing else.")
@json_option
@click_options(None)
@click.pass_context
def settings(
    ctx: click.Context, role: str, page: bool, as_json: bool, **flags: Any
) -> None:
    """Print each flag, its variable, its value in force and the value's origin.

    The values are those that a process in the role would start with here: with this
    environment, and with the flags given to this command. What would keep it from
    starting is reported below the table.
    """
    if page:
        click.echo(settings_page(), nl=False)
        return
    parent = wiring(ctx)
    given = {name: text for name, text in flags.items() if text is not None}
    found = examine(role, {**parent.flags, **given}, parent.env)
    by_name = {item.row.name: item for item in found.resolved}
    listed = [(row, by_name.get(row.name)) for row in rows(role)]
    if as_json:
        settings = [_as_plain(row, item) for row, item in listed]
        print_json({"settings": settings, "problems": found.problems})
    else:
        _print(listed, found)
    ctx.exit(Exit.INVALID if found.problems else Exit.OK)


def _print(listed: list[tuple[Row, Resolved | None]], found: Examined) -> None:
    headers = ["flag", "variable", "value", "units", "origin", "allowed"]
    click.echo(table(headers, [_as_row(row, item) for row, item in listed]))
    for problem in found.problems:
        click.echo(str(problem), err=True)


def _as_row(row: Row, item: Resolved | None) -> list[str]:
    value = row.shown(item.value) if item else ""
    origin = item.origin.value if item else NOT_USABLE
    return [row.flag, row.variable, value, row.units, origin, row.allowed]


def _as_plain(row: Row, item: Resolved | None) -> dict[str, Any]:
    return {
        "name": row.name,
        "flag": row.flag,
        "variable": row.variable,
        "value": row.shown(item.value) if item else None,
        "units": row.units,
        "origin": item.origin if item else NOT_USABLE,
        "allowed": row.allowed,
        "help": row.help,
    }
