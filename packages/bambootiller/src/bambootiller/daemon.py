"""``bambootillerd``: one process of the system, in the role that its command names."""

from __future__ import annotations

import asyncio
import os
import sys
from typing import Any

import click

from bambootiller import logs
from bambootiller.exits import PortTaken, ProcessExit
from bambootiller.settings import SettingsRejected, click_options, load_settings
from bambootiller_core.types import Role

log = logs.logger("daemon")


@click.group()
def main() -> None:
    """Serve rarely used language models: the processes of bambootiller.

    Settings come from flags or from variables (BAMBOOTILLER_...); a flag goes first.
    SIGTERM asks for a planned stop, which cuts no request.
    """


@main.command()
@click_options("entry")
def entry(**flags: Any) -> None:
    """Face callers: HTTP in, routing to the agents."""
    sys.exit(_run(Role.ENTRY, flags))


@main.command()
@click_options("agent")
def agent(**flags: Any) -> None:
    """Stand beside one backend server, and give it all its work."""
    sys.exit(_run(Role.AGENT, flags))


def _run(role: Role, flags: dict[str, Any]) -> int:
    settings = load_settings(role.value, flags, os.environ)
    if isinstance(settings, SettingsRejected):
        click.echo(str(settings), err=True)
        return ProcessExit.SETTINGS
    logs.configure(settings.log_level, settings.instance)
    try:
        return asyncio.run(_serve(role, settings))
    except PortTaken as exc:
        log.critical(str(exc))
        return ProcessExit.PORT_TAKEN


async def _serve(role: Role, settings: Any) -> int:
    # Imported here, by role, so that an agent doesn't carry the HTTP server's memory.
    from bambootiller.app import Application
    from bambootiller.kv import Access, open_key_value
    from bambootiller.peers import PeerNode

    app = Application(settings, role)
    access = Access(settings.kv_url, settings.kv_user, settings.kv_password)
    app.kv = open_key_value(access)
    app.add(PeerNode(app))
    if role is Role.ENTRY:
        from bambootiller.entry.role import EntryRole
        from bambootiller.slotkeeping import SlotKeeper

        app.add(SlotKeeper(app))
        app.add(EntryRole(app))
    else:
        from bambootiller.agent import AgentRole

        app.add(AgentRole(app))
    try:
        return await app.run()
    finally:
        await app.rpc.stop(0.0)
        await app.kv.close()


if __name__ == "__main__":
    main()
