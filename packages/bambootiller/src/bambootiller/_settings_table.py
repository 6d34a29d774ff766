"""The table of settings: one row for each, with its parser, default and help.

The fields of :class:`Settings` are the table. Each carries a :class:`Row`; the flag
and the variable follow from the name of the field. Everything else about settings
derives from these rows, see :mod:`bambootiller.settings`.
"""

import dataclasses
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from bambootiller._parsers import (
    Address,
    Choice,
    Decimal,
    HostPort,
    Listed,
    Name,
    ServiceEntry,
    ServiceUrl,
    Sha256,
    Size,
    Text,
    Url,
    Whole,
)
from bambootiller.instanceforms import LIST_FORMS
from bambootiller.kv import ADAPTERS

ENTRY = "entry"
AGENT = "agent"
OPERATOR = "operator"
ROLES = (ENTRY, AGENT, OPERATOR)

VARIABLE_PREFIX = "BAMBOOTILLER_"
LOG_LEVELS = ("debug", "info", "notice", "warning", "error", "critical")
HIDDEN = "(hidden)"

_DAEMONS = (ENTRY, AGENT)


@dataclass(frozen=True, slots=True)
class Row:
    """One setting: where its value comes from, what is allowed and who reads it.

    ``required`` names the roles that don't start without a value; ``default`` is what
    the others get. ``units`` is empty where the value is no quantity.
    """

    name: str
    parse: Callable[[str], Any]
    default: Any
    roles: tuple[str, ...]
    required: tuple[str, ...]
    help: str
    units: str
    secret: bool

    @property
    def flag(self) -> str:
        """The flag, such as ``--kv-url``."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """The environment variable, such as ``BAMBOOTILLER_KV_URL``."""
        return VARIABLE_PREFIX + self.name.upper()

    @property
    def allowed(self) -> str:
        """What the message to the operator says is allowed."""
        return self.parse.allowed

    def shown(self, value: Any) -> str:
        """The value as text for people; a secret only as set or not set."""
        if value is None or value == ():
            return ""
        if self.secret:
            return HIDDEN
        if isinstance(value, tuple):
            return ",".join(str(entry) for entry in value)
        return f"{value:g}" if isinstance(value, float) else str(value)


def _row(
    parse: Callable[[str], Any],
    help: str,
    *,
    default: Any = None,
    roles: tuple[str, ...] = _DAEMONS,
    required: tuple[str, ...] = (),
    units: str = "",
    secret: bool = False,
) -> Any:
    """A dataclass field that carries its :class:`Row` (still without its name)."""
    row = Row("", parse, default, roles, required, help, units, secret)
    return field(default=default, metadata={"row": row})


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """The settings of one process; one field for each row of the table.

    A role that doesn't use a row gets its default. Build one through
    :func:`load_settings`; tests may use the constructor with just what they need.
    """

    instance: str = _row(
        Name(),
        "Name of this instance, unique in the fleet.",
        default="",
        required=_DAEMONS,
    )
    zone: str = _row(
        Name(),
        "Availability zone of this instance.",
        default="",
        required=_DAEMONS,
    )
    region: str = _row(
        Name(),
        "Region of this instance.",
        default="",
        required=_DAEMONS,
    )
    rpc_listen: Address = _row(
        HostPort(),
        "Address on which other processes reach this one. Port 0: the kernel's choice.",
        default=Address("127.0.0.1", 0),
    )
    rpc_advertise: Address | None = _row(
        HostPort(lowest_port=1),
        "Address that others are told, if it isn't the one listened on.",
    )
    http_listen: Address = _row(
        HostPort(),
        "Address for callers. Port 0: the kernel's choice.",
        default=Address("127.0.0.1", 8080),
        roles=(ENTRY,),
    )
    kv_url: tuple[str, ...] = _row(
        Listed(Url(ADAPTERS)),
        "Endpoints of the key-value service, tried in turn.",
        default=(),
        roles=ROLES,
        required=_DAEMONS,
    )
    kv_user: str | None = _row(
        Text(), "User name at the key-value service.", roles=ROLES
    )
    kv_password: str | None = _row(
        Text(),
        "Password at the key-value service. Prefer the variable: a flag is visible in "
        "the list of processes.",
        roles=ROLES,
        secret=True,
    )
    instances_url: str | None = _row(
        Url(LIST_FORMS), "URL of the platform's instance list.", roles=ROLES
    )
    peers: tuple[Address, ...] = _row(
        Listed(HostPort(lowest_port=1)),
        "Members to ask when the instance list can't be reached.",
        default=(),
        roles=ROLES,
    )
    engine_url: str | None = _row(
        Url(), "Base URL of the model engine beside this agent.", roles=(AGENT,)
    )
    services: tuple[ServiceUrl, ...] = _row(
        Listed(ServiceEntry()),
        "Plain services beside this agent.",
        default=(),
        roles=(AGENT,),
    )
    guard_port: int = _row(
        Whole(0, 65535),
        "Local port that keeps a second agent from running beside the same backend "
        "server. 0 turns the guard off, for tests only.",
        default=7399,
        roles=(AGENT,),
    )
    statsd: Address | None = _row(
        HostPort(lowest_port=1), "Where metrics go, over UDP. Not set: nowhere."
    )
    log_level: str = _row(
        Choice(LOG_LEVELS), "Least severe level that is logged.", default="info"
    )
    tls_cert: str | None = _row(
        Text(),
        "PEM file with this process's certificate. Set all three of tls-* or none.",
        roles=ROLES,
    )
    tls_key: str | None = _row(
        Text(), "PEM file with the certificate's private key.", roles=ROLES
    )
    tls_ca: str | None = _row(
        Text(), "PEM file with the authority that signs all members.", roles=ROLES
    )
    operator_keys: tuple[str, ...] = _row(
        Listed(Sha256()),
        "SHA-256 digests of the keys that may ask for status and explanations. Not "
        "set: whoever reaches the RPC address may.",
        default=(),
    )
    operator_key: str | None = _row(
        Text(),
        "Key sent with status and explain. Prefer the variable: a flag is visible in "
        "the list of processes.",
        roles=(OPERATOR,),
        secret=True,
    )
    operator: str | None = _row(
        Text(),
        "Who makes the change, for the audit record. Not set: the login name.",
        roles=(OPERATOR,),
    )
    drain_seconds: float = _row(
        Decimal(0, 3600),
        "Longest graceful shutdown; what still runs then is cut.",
        default=30.0,
        units="s",
    )
    settle_seconds: float = _row(
        Decimal(0, 600),
        "Time for which an order may still be on its way to the engine after its "
        "sender has died. Must be the same in the whole fleet.",
        default=10.0,
        roles=(AGENT,),
        units="s",
    )
    probe_interval_ms: int = _row(
        Whole(20, 60_000),
        "Time between two probes of a peer.",
        default=1000,
        units="ms",
    )
    gossip_fanout: int = _row(
        Whole(1, 16), "Peers to which a change is passed on.", default=3
    )
    watchers_per_zone: int = _row(
        Whole(1, 16),
        "Processes in each availability zone that watch the key-value service. Must "
        "be the same in the whole fleet.",
        default=2,
    )
    max_body_bytes: int = _row(
        Size(1024, 64 * 2**20),
        "Largest body of a request.",
        default=2**20,
        units="bytes",
    )
    entry_streams: int = _row(
        Whole(1, 100_000),
        "Requests that one entry has under way at a time; more are refused.",
        default=512,
        roles=(ENTRY,),
    )
    memory_mb: int = _row(
        Whole(64, 1_000_000),
        "Memory that the process may use. It bounds what callers make it hold.",
        default=512,
        roles=(ENTRY,),
        units="MB",
    )
    max_descriptors: int = _row(
        Whole(256, 1_000_000),
        "Descriptors that the process may have open. It bounds how many connections "
        "callers may have.",
        default=4096,
        roles=(ENTRY,),
    )
    memory_headroom_bytes: int = _row(
        Size(0, 2**40),
        "Accelerator memory that the agent leaves free.",
        default=0,
        roles=(AGENT,),
        units="bytes",
    )
    seed: int | None = _row(
        Whole(0, 2**63 - 1),
        "Seed of the random choices, for tests. Not set: drawn at the start.",
    )


_ROWS = tuple(
    dataclasses.replace(item.metadata["row"], name=item.name)
    for item in dataclasses.fields(Settings)
)


def rows(role: str | None = None) -> tuple[Row, ...]:
    """The rows that ``role`` reads, in the table's order; all rows without a role."""
    return tuple(row for row in _ROWS if role is None or role in row.roles)
