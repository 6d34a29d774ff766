"""Starting, disturbing and cleaning up a fleet of child processes on loopback.

For tests, the demonstration and the load tool. The product's programs never import it.
"""

from bambootiller_standins.harness._cut import Cut, LinkMode
from bambootiller_standins.harness._fleet import Fleet
from bambootiller_standins.harness._names import Role, Setting
from bambootiller_standins.harness._platform import (
    INSTANCE_LIST,
    KEY_VALUE,
    STATSD,
    WEIGHT_STORE,
    PlatformOptions,
)
from bambootiller_standins.harness._ports import quiet_port
from bambootiller_standins.harness._process import (
    ChildProcess,
    ProcessFailed,
    ProcessSpec,
)
from bambootiller_standins.harness._tool import ToolResult

__all__ = [
    "INSTANCE_LIST",
    "KEY_VALUE",
    "STATSD",
    "WEIGHT_STORE",
    "ChildProcess",
    "Cut",
    "Fleet",
    "LinkMode",
    "PlatformOptions",
    "ProcessFailed",
    "ProcessSpec",
    "Role",
    "Setting",
    "ToolResult",
    "quiet_port",
]
