"""A node as a process of its own, so that a test may freeze or kill it.

``python -m tests.membership.common.process NAME ZONE KV_URL [PEER]`` prints the node's
address when it has started, and runs until it is ended.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

from tests.membership.common.nodes import node, settings

ROOT = Path(__file__).resolve().parents[3]


class NodeProcess:
    """A started process and the address of its node."""

    def __init__(self, process: asyncio.subprocess.Process, address: str) -> None:
        self._process = process
        self.address = address

    @classmethod
    async def start(cls, name: str, zone: str, kv_url: str, *peer: str) -> NodeProcess:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            __name__,
            name,
            zone,
            kv_url,
            *peer,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
            cwd=ROOT,
        )
        address = (await process.stdout.readline()).decode().strip()
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
