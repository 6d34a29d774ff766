"""One child process: its start, ready line, signals and clean-up."""

import asyncio
import atexit
import ctypes
import json
import os
import signal
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

READY_SECONDS = 30.0
STOP_SECONDS = 30.0
TAIL_LINES = 40
LINE_BYTES = 1024 * 1024
_PR_SET_PDEATHSIG = 1

_living: dict[int, "ChildProcess"] = {}


class ProcessFailed(Exception):
    """A child didn't become ready, or didn't stop; the text holds its last output."""


@dataclass(frozen=True, slots=True)
class ProcessSpec:
    """How a child is started: a name, the command, and variables besides our own."""

    name: str
    command: Sequence[str]
    env: Mapping[str, str]


def _die_with_parent() -> None:
    """Asks the kernel to kill this child when its parent dies.

    A test runner that is itself killed runs no clean-up. Its children would stay
    behind, hold their ports, and disturb the next run.
    """
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class ChildProcess:
    """A child process with a ready line on its standard output.

    Output goes to files in *folder*, so that :meth:`tail` can show it after a failure.

    >>> child = ChildProcess(ProcessSpec("kv", standin_command("keyvalue"), {}), folder)
    >>> await child.start()
    >>> child.ready["port"]
    40123
    """

    def __init__(self, spec: ProcessSpec, folder: Path) -> None:
        self.spec = spec
        self.ready: dict[str, object] = {}
        self.out_path = folder / f"{spec.name}.out"
        self.err_path = folder / f"{spec.name}.err"
        self.paused = False
        self._process: asyncio.subprocess.Process | None = None
        self._reader: asyncio.Task | None = None

    @property
    def name(self) -> str:
        """The child's name in the fleet."""
        return self.spec.name

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    @property
    def returncode(self) -> int | None:
        """The exit code, negative for a signal, or nothing while it runs."""
        return self._process.returncode if self._process is not None else None

    @property
    def running(self) -> bool:
        """Whether the child was started and hasn't ended."""
        return self._process is not None and self._process.returncode is None

    async def start(self, seconds: float = READY_SECONDS) -> None:
        """Starts the child and waits for its ready line."""
        await self.launch()
        await self.wait_ready(seconds)

    async def launch(self) -> None:
        """Starts the child and doesn't wait."""
        with open(self.err_path, "ab") as err:
            self._process = await asyncio.create_subprocess_exec(
                *self.spec.command,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=err,
                env=environment(self.spec.env),
                limit=LINE_BYTES,
                preexec_fn=_die_with_parent,
            )
        _living[self._process.pid] = self
        self.ready = {}
        self.paused = False
        self._ready_seen = asyncio.Event()
        self._reader = asyncio.create_task(self._read_output())

    async def wait_ready(self, seconds: float = READY_SECONDS) -> None:
        """Waits for the ready line; raises with the last output if it doesn't come."""
        try:
            await asyncio.wait_for(self._ready_seen.wait(), seconds)
        except TimeoutError:
            pass
        if not self.ready:
            text = f"{self.name} isn't ready (exit code {self.returncode})"
            raise ProcessFailed(f"{text}\n{self.tail()}")

    async def _read_output(self) -> None:
        with open(self.out_path, "ab") as out:
            async for line in self._process.stdout:
                out.write(line)
                out.flush()
                self._note(line)
        self._ready_seen.set()

    def _note(self, line: bytes) -> None:
        if self.ready or b'"ready"' not in line:
            return
        try:
            fields = json.loads(line)
        except ValueError:
            return
        if fields.get("ready") is True:
            self.ready = fields
            self._ready_seen.set()

    def send(self, signum: signal.Signals) -> None:
        """Sends a signal, if the child still runs."""
        if self.running:
            self._process.send_signal(signum)

    def pause(self) -> None:
        """Stops the child where it stands (SIGSTOP)."""
        self.send(signal.SIGSTOP)
        self.paused = True

    def resume(self) -> None:
        """Lets a paused child go on (SIGCONT)."""
        self.send(signal.SIGCONT)
        self.paused = False

    async def kill(self) -> None:
        """Kills the child (SIGKILL) and waits until it is gone."""
        self.send(signal.SIGKILL)
        await self.wait()

    async def terminate(self, seconds: float = STOP_SECONDS) -> int:
        """Asks for a planned stop (SIGTERM), waits for it, returns the exit code."""
        if self.paused:
            self.resume()
        self.send(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self.wait(), seconds)
        except TimeoutError as exc:
            await self.kill()
            text = f"{self.name} didn't stop within {seconds} s of SIGTERM"
            raise ProcessFailed(f"{text}\n{self.tail()}") from exc

    async def wait(self) -> int:
        """Waits until the child has ended and its output is read."""
        code = await self._process.wait()
        _living.pop(self._process.pid, None)
        await self._reader
        return code

    def tail(self, lines: int = TAIL_LINES) -> str:
        """Returns the last lines of the child's output and errors."""
        parts = []
        for path in (self.out_path, self.err_path):
            text = path.read_text(errors="replace") if path.exists() else ""
            if text.strip():
                last = "\n".join(text.splitlines()[-lines:])
                parts.append(f"--- {path.name}\n{last}")
        return "\n".join(parts)


def environment(env: Mapping[str, str]) -> dict[str, str]:
    """Returns a child's variables: ours without settings of the product, and *env*."""
    # A variable of the developer's own shell must not change what a test starts.
    own = {
        name: value
        for name, value in os.environ.items()
        if not name.startswith("BAMBOOTILLER_")
    }
    return own | {"PYTHONUNBUFFERED": "1"} | dict(env)


def _kill_living() -> None:
    for pid, child in list(_living.items()):
        if child.returncode is not None:
            continue
        try:
            os.kill(pid, signal.SIGKILL)
        except ProcessLookupError:
            continue


atexit.register(_kill_living)
