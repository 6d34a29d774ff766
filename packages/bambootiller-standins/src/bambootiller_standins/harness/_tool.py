"""Running the operators' command line once, for its output and exit code."""

import asyncio
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from bambootiller_standins.harness._names import TOOL_COMMAND
from bambootiller_standins.harness._process import environment

TOOL_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class ToolResult:
    """What a run of the operators' command line gave."""

    code: int
    out: str
    err: str


async def run_tool(
    args: Sequence[str], env: Mapping[str, str], stdin: bytes = b""
) -> ToolResult:
    """Runs ``bambootiller`` with *args*, and kills it after a minute."""
    process = await asyncio.create_subprocess_exec(
        *TOOL_COMMAND,
        *args,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env=environment(env),
    )
    try:
        out, err = await asyncio.wait_for(process.communicate(stdin), TOOL_SECONDS)
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    return ToolResult(process.returncode, out.decode(), err.decode())
