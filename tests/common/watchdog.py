"""Ends a test run in which one test hangs, and says where it hangs.

A test that waits for ever would keep CI from saying anything at all. When a test has
taken longer than its bound, the run prints the stacks of all threads and of all asyncio
tasks, ends the processes that its tests have left, and closes as after a failure.
"""

import asyncio
import faulthandler
import gc
import os
import sys
import threading
from collections.abc import Callable

import psutil

EXIT_HUNG = 1


class Watchdog:
    """Watches one test at a time; ``on_hang`` gets its name, and is called once."""

    def __init__(self, seconds: float, on_hang: Callable[[str], None]) -> None:
        self._seconds = seconds
        self._on_hang = on_hang
        self._timer: threading.Timer | None = None

    def begin(self, name: str) -> None:
        """A test begins."""
        self._timer = threading.Timer(self._seconds, self._hung, [name])
        self._timer.daemon = True
        self._timer.start()

    def end(self) -> None:
        """The test has ended."""
        if self._timer is not None:
            self._timer.cancel()

    def _hung(self, name: str) -> None:
        print(f"\nHUNG {name}: no end after {self._seconds:g} s", flush=True)
        faulthandler.dump_traceback(all_threads=True)
        _print_task_stacks()
        for child in psutil.Process().children(recursive=True):
            child.kill()
        self._on_hang(name)
        sys.stdout.flush()
        # The hanging test can't be interrupted, so no ordinary end of the process is
        # left.
        os._exit(EXIT_HUNG)


def _print_task_stacks() -> None:
    for found in gc.get_objects():
        if isinstance(found, asyncio.AbstractEventLoop) and found.is_running():
            for task in asyncio.all_tasks(found):
                task.print_stack(file=sys.stderr)
