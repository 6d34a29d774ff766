"""Runs the load tool as a program."""

import asyncio
import json
import sys

import click

from bambootiller_standins.load import (
    ANONYMOUS,
    Caller,
    LoadPlan,
    LoadReport,
    Verdict,
    run_load,
)

FAULTS = (Verdict.WRONG, Verdict.CUT, Verdict.UNFINISHED)


def _caller(text: str) -> Caller:
    name, separator, key = text.partition("=")
    if not separator or not name or not key:
        raise click.BadParameter(f"caller {text!r} must be NAME=KEY")
    return Caller(name, key)


def _failed(report: LoadReport) -> bool:
    return any(report.count(verdict) for verdict in FAULTS)


@click.command()
@click.option("--url", "urls", multiple=True, required=True, help="An entry's address.")
@click.option("--model", "models", multiple=True, required=True, help="model[:adapter]")
@click.option("--caller", "callers", multiple=True, help="NAME=KEY of a caller.")
@click.option("--rate", default=10.0, show_default=True, help="Requests a second.")
@click.option("--count", default=100, show_default=True, help="Most requests to send.")
@click.option(
    "--seconds", default=60.0, show_default=True, help="Longest sending time."
)
@click.option(
    "--grace-seconds",
    default=30.0,
    show_default=True,
    help="Longest wait for answers after the last request.",
)
@click.option("--seed", default=1, show_default=True, help="Seed of all choices.")
@click.option(
    "--stream-share", default=1.0, show_default=True, help="Part that is streamed."
)
@click.option(
    "--chat/--completion", default=True, show_default=True, help="Which call."
)
@click.option(
    "--max-tokens", default=16, show_default=True, help="Tokens of an answer."
)
@click.option("--prompts", default=50, show_default=True, help="Different prompts.")
@click.option("--customer", default="", help="Whose models they are, behind an entry.")
@click.option("--timeout-ms", type=int, help="Time that each request is given.")
def main(
    urls: tuple[str, ...],
    models: tuple[str, ...],
    callers: tuple[str, ...],
    **options: object,
) -> None:
    """Send requests at random times and check every answer.

    Prints a JSON summary. Exits 1 if an answer was wrong, a stream was cut without a
    word, or a request had no answer in the end; refusals are no fault.
    """
    named = tuple(_caller(text) for text in callers) or (ANONYMOUS,)
    plan = LoadPlan(urls=urls, models=models, callers=named, **options)
    try:
        plan.check()
    except ValueError as exc:
        raise click.UsageError(str(exc)) from exc
    report = asyncio.run(run_load(plan))
    click.echo(json.dumps(report.form(), indent=2))
    sys.exit(1 if _failed(report) else 0)


if __name__ == "__main__":
    main()
