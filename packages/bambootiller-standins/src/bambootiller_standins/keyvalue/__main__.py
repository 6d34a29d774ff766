"""Runs the key-value service as a program."""

import click

from bambootiller_standins._server import LOOPBACK, serve
from bambootiller_standins.keyvalue import KeyValueService


@click.command()
@click.option("--host", default=LOOPBACK, show_default=True, help="Address to bind.")
@click.option("--port", default=0, help="Port to bind; 0 lets the kernel choose.")
@click.option(
    "--writes-per-second", default=0.0, help="Limit of writes; 0 for no limit."
)
@click.option("--reads-per-second", default=0.0, help="Limit of reads; 0 for no limit.")
@click.option(
    "--progress-seconds",
    default=600.0,
    show_default=True,
    help="Quiet time before a watch that asked for it gets a progress message.",
)
def main(**options: object) -> None:
    """Run a key-value service with the etcd v3 JSON gateway.

    Faults: POST /control {"mode": MODE, "delay_ms": N, "count": N}, where MODE is one
    of up, down, slow, lose_answers.  Counts: GET /control.  Prints one JSON line with
    the port when it is bound.
    """
    serve(lambda: KeyValueService(**options))


if __name__ == "__main__":
    main()
