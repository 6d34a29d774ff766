"""``bambootiller``: the command line with which operators drive the system."""

from importlib.metadata import version
from typing import Any

import click

from bambootiller import logs
from bambootiller.cli.exits import LEGEND
from bambootiller.cli.explain_logs import explain_logs
from bambootiller.cli.fleet import explain, status
from bambootiller.cli.keys import key
from bambootiller.cli.settings import settings
from bambootiller.cli.template import audit, template
from bambootiller.cli.wiring import Wiring, wiring
from bambootiller.settings import OPERATOR, click_options


@click.group(epilog=LEGEND, context_settings={"max_content_width": 100})
@click.version_option(version("bambootiller"), prog_name="bambootiller")
@click_options(OPERATOR)
@click.pass_context
def main(ctx: click.Context, **flags: Any) -> None:
    """Drive bambootiller: change templates, and see what the fleet does and why.

    \b
    bambootiller template check forge.toml
    bambootiller template apply forge.toml --reason "exams" --wait
    bambootiller status
    bambootiller explain model forge tutor

    The options below say where the platform's services are. They stand before the
    command, or better in the environment. Every command takes --json.
    """
    # Results and progress are this program's output; log lines of libraries aren't.
    logs.configure("error", "")
    ctx.obj = (ctx.find_object(Wiring) or wiring(ctx)).with_flags(flags)


explain.add_command(explain_logs)

for command in (template, audit, status, explain, settings, key):
    main.add_command(command)

if __name__ == "__main__":
    main()
