"""The operators' command line as a process that ends: its largest memory and its
processor time, as the kernel accounts for them."""

from __future__ import annotations

import os
import subprocess

from bambootiller_standins.harness import INSTANCE_LIST, KEY_VALUE, Fleet, Setting
from bambootiller_standins.harness._names import INSTANCES_PATH, TOOL_COMMAND
from bambootiller_standins.harness._process import environment

KIB = 1024
MIB = 2**20


def status_usage(fleet: Fleet) -> dict[str, float]:
    """Run ``bambootiller status`` once against a fleet."""
    instances = fleet.url(INSTANCE_LIST) + INSTANCES_PATH
    env = {
        str(Setting.KV_URL): fleet.url(KEY_VALUE),
        str(Setting.INSTANCES_URL): instances,
    }
    process = subprocess.Popen(
        (*TOOL_COMMAND, "status"),
        env=environment(env),
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    _, code, used = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(code)
    return {
        "exit_code": process.returncode,
        "resident_mib": used.ru_maxrss * KIB / MIB,
        "cpu": used.ru_utime + used.ru_stime,
    }
