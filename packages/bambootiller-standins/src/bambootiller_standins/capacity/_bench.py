"""A fleet of real processes under measurement: what each uses, what each reports."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

import aiohttp
import grpc
import psutil

from bambootiller.rpc import bambootiller_pb2 as pb, bambootiller_pb2_grpc as api
from bambootiller_core.documents import Document
from bambootiller_standins.harness import KEY_VALUE, Fleet

STATUS_SECONDS = 10.0
POLL_SECONDS = 0.02
MIB = 2**20
#: What a status call costs its process would be counted as the process's own, so
#: windows begin and end with one and have none inside.
COUNTS = ("bytes_sent", "bytes_received", "messages_sent", "messages_received")


@dataclass(frozen=True, slots=True)
class Usage:
    """What a process has used: processor seconds, and memory in bytes.

    ``private`` leaves out the pages of libraries that it shares with others.
    """

    at: float
    cpu: float
    resident: int
    private: int


@dataclass(frozen=True, slots=True)
class Spent:
    """What one process spent in a window, per second."""

    cpu: float
    bytes_sent: float
    bytes_received: float
    messages_sent: float


class Bench:
    """Reads processes of a fleet from outside, and their own counters over RPC."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self._channels: dict[str, grpc.aio.Channel] = {}

    async def close(self) -> None:
        """Release the channels."""
        for channel in self._channels.values():
            await channel.close()

    def usage(self, name: str) -> Usage:
        """What a process has used so far."""
        process = psutil.Process(self.fleet.children[name].pid)
        with process.oneshot():
            times = process.cpu_times()
            memory = process.memory_full_info()
        cpu = times.user + times.system
        return Usage(time.monotonic(), cpu, memory.rss, memory.uss)

    async def status(self, name: str) -> pb.StatusReply:
        """A process's own account of itself."""
        address = self.fleet.rpc_address(name)
        channel = self._channels.get(address)
        if channel is None:
            channel = self._channels[address] = grpc.aio.insecure_channel(address)
        stub = api.PeerStub(channel)
        return await stub.Status(pb.StatusRequest(), timeout=STATUS_SECONDS)

    async def detail(self, name: str) -> dict[str, float]:
        """The counters of a process."""
        return json.loads((await self.status(name)).detail_json)

    async def spent(self, names: Iterable[str], seconds: float) -> dict[str, Spent]:
        """What processes spend in the next ``seconds``."""
        names = tuple(names)
        details = {name: await self.detail(name) for name in names}
        usages = {name: self.usage(name) for name in names}
        await asyncio.sleep(seconds)
        found = {name: self._since(name, usages[name]) for name in names}
        return {
            name: Spent(
                found[name],
                *self._rates(details[name], await self.detail(name), usages[name]),
            )
            for name in names
        }

    def _since(self, name: str, before: Usage) -> float:
        now = self.usage(name)
        return (now.cpu - before.cpu) / (now.at - before.at)

    def _rates(
        self, before: dict[str, float], after: dict[str, float], since: Usage
    ) -> tuple[float, float, float]:
        passed = time.monotonic() - since.at
        sent, received, messages, _ = (
            (after[name] - before[name]) / passed for name in COUNTS
        )
        return sent, received, messages

    async def key_value(self) -> dict[str, float]:
        """What the key-value service has counted."""
        return await self.fleet.counts(KEY_VALUE)

    async def put(self, document: Document) -> None:
        """Write a document straight into the key-value service."""
        await self._post(
            "put", key=_base64(document.key), value=_base64(document.value)
        )

    async def value(self, key: str) -> bytes | None:
        """Read a value straight from the key-value service."""
        form = await self._post("range", key=_base64(key))
        rows = form.get("kvs", [])
        return base64.b64decode(rows[0]["value"]) if rows else None

    async def values(self, prefix: str) -> list[bytes]:
        """Read all values under a prefix."""
        end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
        form = await self._post("range", key=_base64(prefix), range_end=_base64(end))
        return [base64.b64decode(row["value"]) for row in form.get("kvs", [])]

    async def _post(self, call: str, **body: str) -> dict:
        url = f"{self.fleet.url(KEY_VALUE)}/v3/kv/{call}"
        async with aiohttp.ClientSession() as session:
            async with session.post(url, json=body) as response:
                response.raise_for_status()
                return await response.json()


async def until(
    done: Callable[[], Awaitable[bool]], what: str, seconds: float = 60.0
) -> float:
    """Wait until ``done()``; the seconds it took. Raises if it takes too long."""
    begun = time.monotonic()
    while not await done():
        if time.monotonic() - begun > seconds:
            raise TimeoutError(f"not within {seconds} s: {what}")
        await asyncio.sleep(POLL_SECONDS)
    return time.monotonic() - begun


def _base64(text: str | bytes) -> str:
    data = text.encode() if isinstance(text, str) else text
    return base64.b64encode(data).decode("ascii")
