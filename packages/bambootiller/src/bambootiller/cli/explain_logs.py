"""``bambootiller explain logs``: the story of a request from the processes' logs."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, TextIO

import click

from bambootiller.cli.exits import Exit
from bambootiller.cli.output import print_json
from bambootiller.cli.wiring import json_option
from bambootiller_core.gateway.timeline import (
    Step,
    Timeline,
    build_timeline,
    read_lines,
)

#: Shown in columns of their own, or of no use to a reader.
_COLUMNS = ("time", "uptime_s", "event", "instance", "request")


@click.command("logs")
@click.argument("request_id", metavar="ID")
@click.argument("files", metavar="[FILE]...", type=click.File("r"), nargs=-1)
@json_option
@click.pass_context
def explain_logs(
    ctx: click.Context, request_id: str, files: tuple[TextIO, ...], as_json: bool
) -> None:
    """What became of a request and why, from the logs of the processes.

    Reads the FILEs, or standard input. Give it the logs of all entries and agents of
    that time: why a model was late stands in the log of an agent. Needs no process to
    be alive.

    \b
    bambootiller explain logs 315a551c959c068c logs/*.jsonl
    """
    timeline = build_timeline(read_lines(_text(files)), request_id)
    if timeline is None:
        click.echo(f"no line names the request {request_id}", err=True)
        ctx.exit(Exit.REFUSED)
    if as_json:
        print_json(timeline)
    else:
        _print(timeline)


def _text(files: tuple[TextIO, ...]) -> Iterator[str]:
    for file in files or (click.get_text_stream("stdin"),):
        yield from file


def _print(timeline: Timeline) -> None:
    width = max(len(str(step.line["instance"])) for step in timeline.steps)
    for step in timeline.steps:
        click.echo(_shown(step, width))
    if timeline.unaligned:
        names = ", ".join(timeline.unaligned)
        click.echo(f"placed by their own clocks, which may be wrong: {names}", err=True)


def _shown(step: Step, width: int) -> str:
    line = step.line
    mark = ">" if step.own else " "
    fields = " ".join(
        f"{name}={_plain(value)}"
        for name, value in line.items()
        if name not in _COLUMNS and value not in (None, "")
    )
    instance = str(line["instance"]).ljust(width)
    return f"{mark} {step.at_s:+9.3f} s  {instance}  {line['event']}  {fields}"


def _plain(value: Any) -> str:
    if isinstance(value, dict):
        inner = ",".join(f"{name}:{_plain(item)}" for name, item in value.items())
        return "{" + inner + "}"
    return str(value)
