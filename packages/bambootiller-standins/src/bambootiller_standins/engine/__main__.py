"""Runs a model engine as a program."""

import json
from pathlib import Path

import click
import pydantic

from bambootiller_standins._server import LOOPBACK, serve
from bambootiller_standins.engine import Engine, EngineConfig


def _config(path: str | None, overrides: dict[str, object]) -> EngineConfig:
    raw = json.loads(Path(path).read_text(encoding="utf-8")) if path else {}
    raw |= {name: value for name, value in overrides.items() if value is not None}
    try:
        return EngineConfig.model_validate(raw)
    except pydantic.ValidationError as exc:
        raise click.ClickException(str(exc)) from exc


@click.command()
@click.option("--host", default=LOOPBACK, show_default=True, help="Address to bind.")
@click.option("--port", default=0, help="Port to bind; 0 lets the kernel choose.")
@click.option(
    "--config", type=click.Path(exists=True, dir_okay=False), help="JSON settings."
)
@click.option("--memory-total", type=int, help="Bytes of accelerator memory.")
@click.option("--token-ms", type=float, help="Time between tokens of a lone request.")
@click.option("--max-batch", type=int, help="Requests of one model that run at once.")
@click.option("--fencing/--no-fencing", default=None, help="Refuse old fences, or not.")
@click.option("--weight-store", help="Address of the weight store.")
@click.option("--journal", help="File for the record of what held memory when.")
@click.option("--order-delay-ms", type=float, help="How long an order is on the wire.")
@click.option("--report-lag-ms", type=float, help="How late the load report shows.")
def main(host: str, port: int, config: str | None, **overrides: object) -> None:
    """Run a model engine with memory, checkpoint tiers, batching and faults.

    A flag goes before the same name in the JSON file.  Faults: POST /control; counts:
    GET /control and GET /control/runs.  Prints one JSON line with the port when it is
    bound.
    """
    cfg = _config(config, overrides)
    serve(lambda: Engine(cfg, exits=True, host=host, port=port))


if __name__ == "__main__":
    main()
