"""The one table of how the product's processes are started, and of their settings.

If a command or a variable of the programs changes, it changes here and nowhere else in
the harness.
"""

import enum
import sys

TOOL_COMMAND = (sys.executable, "-m", "bambootiller.cli.main")
DAEMON_COMMAND = (sys.executable, "-m", "bambootiller.daemon")
STANDIN_MODULE = "bambootiller_standins.{name}"

PREFIX = "BAMBOOTILLER_"
KERNEL_PORT = "127.0.0.1:0"
INSTANCES_PATH = "/instances"

READY_RPC_PORT = "rpc_port"
READY_HTTP_PORT = "http_port"
READY_PORT = "port"
READY_UDP_PORT = "udp_port"


class Role(enum.StrEnum):
    """The role of a process of the product; its name is the daemon's command."""

    ENTRY = "entry"
    AGENT = "agent"


class Setting(enum.StrEnum):
    """The variables that the harness sets."""

    INSTANCE = PREFIX + "INSTANCE"
    ZONE = PREFIX + "ZONE"
    REGION = PREFIX + "REGION"
    RPC_LISTEN = PREFIX + "RPC_LISTEN"
    RPC_ADVERTISE = PREFIX + "RPC_ADVERTISE"
    HTTP_LISTEN = PREFIX + "HTTP_LISTEN"
    KV_URL = PREFIX + "KV_URL"
    INSTANCES_URL = PREFIX + "INSTANCES_URL"
    ENGINE_URL = PREFIX + "ENGINE_URL"
    SERVICES = PREFIX + "SERVICES"
    GUARD_PORT = PREFIX + "GUARD_PORT"
    STATSD = PREFIX + "STATSD"
    TLS_CERT = PREFIX + "TLS_CERT"
    TLS_KEY = PREFIX + "TLS_KEY"
    TLS_CA = PREFIX + "TLS_CA"
    OPERATOR_KEY = PREFIX + "OPERATOR_KEY"
    OPERATOR = PREFIX + "OPERATOR"


def daemon_command(role: Role) -> tuple[str, ...]:
    """Returns the command of one process of the product."""
    return (*DAEMON_COMMAND, role.value)


def standin_command(name: str, *flags: str) -> tuple[str, ...]:
    """Returns the command of one stand-in."""
    return (sys.executable, "-m", STANDIN_MODULE.format(name=name), *flags)
