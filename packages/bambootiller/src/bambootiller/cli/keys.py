"""``bambootiller key new``: a key for a caller or an operator."""

import hashlib
import secrets

import click

from bambootiller.cli.output import print_json
from bambootiller.cli.wiring import json_option

#: A key is a random number of 256 bits, so its plain hash can't be searched for.
KEY_BYTES = 32
PREFIX = "bt-"


@click.group()
def key() -> None:
    """Keys of callers and operators."""


@key.command("new")
@json_option
def new(as_json: bool) -> None:
    """Print a new key and its SHA-256 digest.

    The digest goes into the template (key_sha256) or, for an operator, into the
    daemons' --operator-keys. The key goes to its owner and is kept nowhere else.
    """
    made = PREFIX + secrets.token_urlsafe(KEY_BYTES)
    digest = hashlib.sha256(made.encode()).hexdigest()
    if as_json:
        print_json({"key": made, "key_sha256": digest})
        return
    click.echo(f"key         {made}")
    click.echo(f"key_sha256  {digest}")
