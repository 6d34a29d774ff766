"""A node as a process of its own, so that a test may freeze or kill it.

``python -m tests.membership.common.process NAME ZONE KV_URL [PEER]`` prints the node's
address when it has started, and runs until it is ended.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
from pathlib import Path
from typing import BinaryIO

from tests.membership.common.nodes import node, settings

#: Lines of a process's errors that a failed start shows.
TAIL_LINES = 30
ROOT = Path(__file__).resolve().parents[3]


class NodeProcess:
    """A started process and the address of its node."""

    def __init__(self, process: asyncio.subprocess.Process, address: str) -> None:
        self._process = process
        self.address = address

    @classmethod
    async def start(cls, name: str, zone: str, kv_url: str, *peer: str) -> NodeProcess:
        with tempfile.TemporaryFile() as errors:
            return await cls._start(errors, name, zone, kv_url, *peer)

    @classmethod
    async def _start(cls, errors: BinaryIO, name: str, *args: str) -> NodeProcess:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            __name__,
            name,
            *args,
            stdout=asyncio.subprocess.PIPE,
            stderr=errors,
            cwd=ROOT,
        )
        address = (await process.stdout.readline()).decode().strip()
        if not address:
            code = await process.wait()
            errors.seek(0)
            last = errors.read().decode(errors="replace").splitlines()[-TAIL_LINES:]
            told = "\n".join((f"{name}: exit code {code}", *last))
            raise AssertionError(told)
        return cls(process, address)

    def freeze(self) -> None:
        self._process.send_signal(signal.SIGSTOP)

    def go_on(self) -> None:
        self._process.send_signal(signal.SIGCONT)

    async def kill(self) -> None:
        """End the process, frozen or not."""
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()


async def _run(name: str, zone: str, kv_url: str, *peers: str) -> None:
    started = await node(settings(name, kv_url, zone=zone, peers=peers)).start()
    print(started.address, flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_run(*sys.argv[1:]))
