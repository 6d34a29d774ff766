"""Prints what the logs of a run tell; see ``--help`` of each command."""

from __future__ import annotations

from pathlib import Path

import click

from bambootiller_standins.daylogs import quota_counter, store_oracle
from bambootiller_standins.daylogs.reading import read_lines


@click.group()
def main() -> None:
    """Read what the programs of a fleet logged in one run."""


@main.command()
@click.argument("log", type=click.Path(exists=True, path_type=Path))
@click.option("--patience-s", default=8.0, help="How long a caller waits for a load.")
@click.option("--load-s", type=float, help="A load at full speed; the shortest seen.")
def store(log: Path, patience_s: float, load_s: float | None) -> None:
    """What the weight store's turns earned, and what they could have at best."""
    run = store_oracle.Run.of(read_lines(log))
    asked, unserved = run.asked(), run.unserved()
    click.echo(f"asked for {len(asked)}, never served {len(unserved)}")
    elsewhere = [item for item in unserved if not run.depends_on_store(item)]
    click.echo(f"of these with a copy at some engine: {len(elsewhere)}")
    last = max((max(times) for times in run.calls.values()), default=0.0)
    turns = [turn for turn in run.turns if turn.ends <= last + patience_s]
    for turn in turns:
        earned = sum(
            time >= turn.begins
            for subject, times in run.answered.items()
            if subject.model == turn.model
            for time in times
        )
        best, callers = store_oracle.best_for_callers(run, turn, patience_s)
        spell = f"{turn.begins:7.1f} to {turn.ends:5.1f}"
        click.echo(
            f"  {spell}  {turn.model}: {earned} answered; {best} had {callers:.1f}"
        )
    _tell("the same turns", run, turns, patience_s)
    seconds = load_s or min((turn.ends - turn.begins for turn in run.turns), default=0)
    if seconds:
        ideal = store_oracle.ideal_turns(run, run.listed_at, seconds, last + patience_s)
        _tell("from the last engine listed", run, ideal, patience_s)


@main.command()
@click.argument("log", type=click.Path(exists=True, path_type=Path))
def quota(log: Path) -> None:
    """Calls refused for their quota, and by a single counter of all calls."""
    verdicts = quota_counter.judge(read_lines(log))
    rows = sorted(verdicts.items()) + [("all", quota_counter.total(verdicts.values()))]
    for name, row in rows:
        click.echo(
            f"{name:12} {row.calls} calls, beyond the limit {row.beyond}, refused for"
            f" it {row.refused} (though owed {row.refused_though_owed}), unknown"
            f" {row.unknown}"
        )


def _tell(
    name: str, run: store_oracle.Run, turns: list[store_oracle.Turn], patience_s: float
) -> None:
    best = store_oracle.best_use(run, turns, patience_s)
    models = ", ".join(model or "-" for model in best.models)
    click.echo(
        f"{name}: {len(turns)} turns; at best {len(best.unserved)} unserved ({models})"
    )


if __name__ == "__main__":
    main()
