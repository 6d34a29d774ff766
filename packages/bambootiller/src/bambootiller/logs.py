"""Logs as JSON lines on standard error, each with the same four fields.

Every line carries ``instance``, ``request``, ``customer`` and ``model``, null where
they don't apply, so that whoever collects logs can select by any of them without
parsing messages. The last three are bound for the task that serves a request, and all
that this task calls logs with them.

    log = logs.logger("entry")
    logs.configure("info", "i-12")
    with logs.fields(request="r-1", customer="forge", model="tutor"):
        log.info("chose {} of {} agents", 1, 3)

Messages use the ``{}`` form of :meth:`str.format`. Lines of other libraries, which log
through the standard library, come out in the same form.
"""

import json
import logging
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from datetime import UTC
from typing import TextIO

import logbook
from logbook.compat import RedirectLoggingHandler

__all__ = ["FIELDS", "configure", "fields", "logger"]

FIELDS = ("request", "customer", "model")

_LEVELS = {
    "debug": logbook.DEBUG,
    "info": logbook.INFO,
    "notice": logbook.NOTICE,
    "warning": logbook.WARNING,
    "error": logbook.ERROR,
    "critical": logbook.CRITICAL,
}
#: The standard library has no level between info and warning.
_STANDARD_LEVELS = {"notice": logging.WARNING}
_bound: ContextVar[dict[str, str]] = ContextVar("bambootiller_log_fields", default={})
_installed: list["_JsonHandler"] = []


def logger(name: str) -> logbook.Logger:
    """A logger for one part of the program; it may be made before :func:`configure`."""
    return logbook.Logger(name)


@contextmanager
def fields(**bound: str) -> Iterator[None]:
    """Bind fields for what this task logs inside the block.

    Any of ``request``, ``customer`` and ``model`` may be given; others are refused with
    :class:`TypeError`. Blocks nest, and tasks started inside inherit the fields.
    """
    unknown = set(bound) - set(FIELDS)
    if unknown:
        name = sorted(unknown)[0]
        raise TypeError(f"field {name!r}; allowed: {', '.join(FIELDS)}")
    token = _bound.set({**_bound.get(), **bound})
    try:
        yield
    finally:
        _bound.reset(token)


def configure(level: str, instance: str, stream: TextIO | None = None) -> None:
    """Send lines of ``level`` and above to ``stream`` (standard error by default).

    Called once at the start of a process; a second call replaces the first.
    """
    while _installed:
        _installed.pop().pop_application()
    handler = _JsonHandler(stream or sys.stderr, instance, _LEVELS[level])
    handler.push_application()
    _installed.append(handler)
    _redirect_standard_library(level)


def _redirect_standard_library(level: str) -> None:
    root = logging.getLogger()
    root.handlers[:] = [RedirectLoggingHandler()]
    # The level is set here as well, or every debug line of every library would be built
    # and converted before the handler drops it.
    root.setLevel(_STANDARD_LEVELS.get(level, level.upper()))


class _JsonHandler(logbook.Handler):
    """Writes each record as one JSON object on one line."""

    def __init__(self, stream: TextIO, instance: str, level: int) -> None:
        super().__init__(level=level, bubble=False)
        self._stream = stream
        self._instance = instance

    def emit(self, record: logbook.LogRecord) -> None:
        line = json.dumps(self._columns(record), default=str, ensure_ascii=False)
        try:
            self._stream.write(line + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            # The collector closed its end of the pipe, or the stream is closed. Raising
            # here would end the request that happened to log; serving goes first, and
            # the missing lines are noticed where they are collected.
            return

    def _columns(self, record: logbook.LogRecord) -> dict[str, object]:
        bound = _bound.get()
        time = record.time.replace(tzinfo=UTC).isoformat(timespec="milliseconds")
        columns = {
            "time": time,
            "level": record.level_name.lower(),
            "logger": record.channel,
            "message": record.message,
            "instance": self._instance,
        }
        columns.update({name: bound.get(name) for name in FIELDS})
        columns.update(record.extra)
        if record.exc_info:
            columns["exception"] = record.formatted_exception
        return columns
