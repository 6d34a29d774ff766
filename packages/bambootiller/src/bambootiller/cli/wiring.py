"""What the commands work with: settings, the key-value service and the fleet.

The wiring travels in click's context object. Tests put one in that hands out fakes.
"""

import asyncio
import getpass
import os
import secrets
import sys
import time
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field, replace
from datetime import UTC, datetime
from typing import Any, TypeVar

import click

from bambootiller.cli.outcomes import finish
from bambootiller.kv import Access, open_key_value
from bambootiller.operators.changes import Author
from bambootiller.operators.members import Fleet
from bambootiller.settings import (
    OPERATOR,
    Problem,
    Settings,
    SettingsRejected,
    load_settings,
    rows,
)
from bambootiller_core.ports import KeyValue

TOKEN_BYTES = 16
FIRST_PAUSE_SECONDS = 0.2
LONGEST_PAUSE_SECONDS = 2.0

Result = TypeVar("Result")


def open_kv(cfg: Settings) -> KeyValue:
    """The key-value service of the settings."""
    return open_key_value(Access(cfg.kv_url, cfg.kv_user, cfg.kv_password))


def open_fleet(cfg: Settings) -> Fleet:
    """The fleet of the settings."""
    # Imported here, so that a command which asks nobody starts without its libraries.
    from bambootiller.operators.fleet import GrpcFleet

    return GrpcFleet(cfg)


@dataclass(frozen=True)
class Wiring:
    """How a command reaches the world."""

    flags: Mapping[str, Any] = field(default_factory=dict)
    env: Mapping[str, str] = field(default_factory=lambda: os.environ)
    open_kv: Callable[[Settings], KeyValue] = open_kv
    open_fleet: Callable[[Settings], Fleet] = open_fleet
    now: Callable[[], float] = time.monotonic
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep

    def with_flags(self, flags: Mapping[str, Any]) -> "Wiring":
        """The same wiring with the flags of the command line."""
        return replace(self, flags=flags)

    def settings(self, as_json: bool, *needed: str) -> Settings:
        """The operator's settings; ends the command if ``needed`` ones are missing."""
        cfg = load_settings(OPERATOR, self.flags, self.env)
        if isinstance(cfg, SettingsRejected):
            finish(cfg, as_json)
        missing = [
            Problem(row.flag, row.variable, None, row.allowed)
            for row in rows(OPERATOR)
            if row.name in needed and not getattr(cfg, row.name)
        ]
        if missing:
            finish(SettingsRejected(tuple(missing)), as_json)
        return cfg

    def with_kv(
        self, as_json: bool, act: Callable[[KeyValue], Awaitable[Result]]
    ) -> Result:
        """Run ``act`` with the key-value service, and release it afterwards."""
        cfg = self.settings(as_json, "kv_url")

        async def run() -> Result:
            kv = self.open_kv(cfg)
            try:
                return await act(kv)
            finally:
                await kv.close()

        return asyncio.run(run())

    def with_fleet(
        self, as_json: bool, act: Callable[[Fleet], Awaitable[Result]]
    ) -> Result:
        """Run ``act`` with the fleet, and release it afterwards."""
        cfg = self.settings(as_json)

        async def run() -> Result:
            fleet = self.open_fleet(cfg)
            try:
                return await act(fleet)
            finally:
                await fleet.close()

        return asyncio.run(run())

    def author(self, as_json: bool, reason: str) -> Author:
        """Who makes a change now, with a token that no other attempt has."""
        cfg = self.settings(as_json)
        when = datetime.now(UTC).isoformat(timespec="seconds")
        token = secrets.token_hex(TOKEN_BYTES)
        return Author(cfg.operator or _login(as_json), when, reason, token)

    async def pause(self, attempt: int) -> None:
        """Wait before an attempt is repeated, longer each time."""
        seconds = FIRST_PAUSE_SECONDS * 2 ** (attempt - 1)
        click.echo(f"no answer yet; attempt {attempt + 1}", err=True)
        await self.sleep(min(seconds, LONGEST_PAUSE_SECONDS))


def _login(as_json: bool) -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError, ImportError):
        # A container's user may have no name. An audit record without a name is of no
        # use, so the operator has to give one.
        row = next(row for row in rows(OPERATOR) if row.name == "operator")
        problem = Problem(row.flag, row.variable, None, row.allowed)
        finish(SettingsRejected((problem,)), as_json)


def wiring(ctx: click.Context) -> Wiring:
    """The wiring of a command."""
    found = ctx.find_object(Wiring)
    return found if found is not None else Wiring()


def fail_usage(message: str) -> None:
    """End the command because of an argument."""
    click.echo(message, err=True)
    sys.exit(2)


json_option = click.option(
    "--json", "as_json", is_flag=True, help="Print one JSON document."
)
