"""The journals of a fleet's engines: what they prove of replicas and memory."""

import time
from pathlib import Path

from bambootiller_standins.engine import append_gone, most_replicas, read_journal


class Journals:
    """The journals of the engines of one fleet, by the engines' names."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._paths: dict[str, Path] = {}

    def add(self, engine: str) -> Path:
        """Returns the file for an engine's journal."""
        self._paths[engine] = self._folder / f"{engine}.journal"
        return self._paths[engine]

    def note_killed(self, name: str) -> None:
        """Records that an engine is gone by now; other processes are left alone."""
        if name in self._paths:
            append_gone(self._paths[name], time.monotonic())

    def most_replicas(self, model: str) -> int:
        """Returns how many engines held a model at the same moment at most."""
        lines = [read_journal(path) for path in self._paths.values()]
        return most_replicas(lines, model)

    def overcommitted(self) -> list[str]:
        """Returns the engines whose memory was overcommitted at any time."""
        return [
            name
            for name, path in self._paths.items()
            if any(line.entry == "overcommitted" for line in read_journal(path))
        ]
