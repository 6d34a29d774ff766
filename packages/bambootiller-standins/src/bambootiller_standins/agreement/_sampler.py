"""Watching the engines of a real run: what is loaded, and what of it stands idle."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import aiohttp

#: Between two looks at an engine. Seconds.
LOOK_S = 0.05
LOADED = "loaded"


@dataclass(slots=True)
class Watched:
    """What was seen of one engine; seconds of loaded and of idle replicas add up."""

    loaded: frozenset[str] = frozenset()
    idle: frozenset[str] = frozenset()
    loaded_s: float = 0.0
    idle_s: float = 0.0
    _since: float | None = None

    def saw(self, now: float, state: Mapping[str, Any]) -> None:
        """Note a state of the engine; the one before held till ``now``."""
        self.advance(now)
        loaded = [item for item in state["models"] if item["phase"] == LOADED]
        self.loaded = frozenset(item["model"] for item in loaded)
        self.idle = frozenset(
            item["model"] for item in loaded if not item["running"] + item["waiting"]
        )

    def advance(self, now: float) -> None:
        """Account for the time up to ``now``."""
        if self._since is not None:
            passed = now - self._since
            self.loaded_s += passed * len(self.loaded)
            self.idle_s += passed * len(self.idle)
        self._since = now


@dataclass(slots=True)
class Sampler:
    """Looks at all engines every :data:`LOOK_S` seconds until it is cancelled."""

    session: aiohttp.ClientSession
    urls: Mapping[str, str]
    watched: dict[str, Watched] = field(default_factory=dict)

    async def run(self) -> None:
        """Watch all engines."""
        await asyncio.gather(*(self._watch(name) for name in self.urls))

    def loaded(self, model: str) -> bool:
        """Whether a replica of ``model`` was loaded anywhere at the last look."""
        return any(model in one.loaded for one in self.watched.values())

    def close(self, now: float) -> None:
        """Account for the time up to the horizon."""
        for one in self.watched.values():
            one.advance(now)

    @property
    def loaded_s(self) -> float:
        """Accelerator seconds with a model loaded."""
        return sum(one.loaded_s for one in self.watched.values())

    @property
    def idle_s(self) -> float:
        """Accelerator seconds with a model loaded and no request on it."""
        return sum(one.idle_s for one in self.watched.values())

    async def _watch(self, name: str) -> None:
        loop = asyncio.get_running_loop()
        watched = self.watched.setdefault(name, Watched())
        while True:
            async with self.session.get(f"{self.urls[name]}/state") as response:
                state = await response.json()
            watched.saw(loop.time(), state)
            await asyncio.sleep(LOOK_S)
