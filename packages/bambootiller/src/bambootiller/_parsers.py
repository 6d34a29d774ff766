"""Parsers that turn the text of a flag or variable into a typed value.

A parser is a small frozen object. Calling it with the text gives the value, and raises
:class:`ValueError` if the text isn't allowed; ``allowed`` says in plain words what is.
Keeping both in one object means that a message to the operator can't drift apart from
the check behind it.

    >>> Whole(1, 16)("3")
    3
    >>> Whole(1, 16).allowed
    'a whole number from 1 to 16'
"""

import ipaddress
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

from bambootiller._forms import Forms, plain_url

MAX_PORT = 65535
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_HOST = re.compile(r"[A-Za-z0-9]([A-Za-z0-9.-]{0,252}[A-Za-z0-9])?")
_SIZE = re.compile(r"(\d+)\s*(|B|KiB|MiB|GiB)")
_SIZE_FACTORS = {"": 1, "B": 1, "KiB": 2**10, "MiB": 2**20, "GiB": 2**30}


@dataclass(frozen=True, slots=True)
class Address:
    """A host and a TCP or UDP port; its text form is what gRPC takes as a target.

    >>> str(Address("127.0.0.1", 7001))
    '127.0.0.1:7001'
    """

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


@dataclass(frozen=True, slots=True)
class ServiceUrl:
    """A plain service beside the backend server: its name and its base URL."""

    name: str
    url: str

    def __str__(self) -> str:
        return f"{self.name}={self.url}"


@dataclass(frozen=True, slots=True)
class Name:
    """Parser for the name of an instance, an availability zone or a region."""

    allowed: str = "1 to 63 letters, digits, '.', '_' or '-', first a letter or digit"

    def __call__(self, text: str) -> str:
        if not _NAME.fullmatch(text):
            raise ValueError(text)
        return text


@dataclass(frozen=True, slots=True)
class Text:
    """Parser for free text of one line."""

    allowed: str = "text of one line, not empty"

    def __call__(self, text: str) -> str:
        if not text.strip() or not text.isprintable():
            raise ValueError(text)
        return text


@dataclass(frozen=True, slots=True)
class Choice:
    """Parser for one word out of a fixed few; case doesn't matter."""

    words: tuple[str, ...]

    @property
    def allowed(self) -> str:
        """What the message to the operator says is allowed."""
        return "one of " + ", ".join(self.words)

    def __call__(self, text: str) -> str:
        word = text.lower()
        if word not in self.words:
            raise ValueError(text)
        return word


@dataclass(frozen=True, slots=True)
class Whole:
    """Parser for a whole number within bounds, both included."""

    low: int
    high: int

    @property
    def allowed(self) -> str:
        """What the message to the operator says is allowed."""
        return f"a whole number from {self.low} to {self.high}"

    def __call__(self, text: str) -> int:
        number = int(text)
        if not self.low <= number <= self.high:
            raise ValueError(text)
        return number


@dataclass(frozen=True, slots=True)
class Decimal:
    """Parser for a decimal number within bounds, both included."""

    low: float
    high: float

    @property
    def allowed(self) -> str:
        """What the message to the operator says is allowed."""
        return f"a number from {self.low:g} to {self.high:g}"

    def __call__(self, text: str) -> float:
        number = float(text)
        # NaN compares false with everything, so it is refused here as well.
        if not self.low <= number <= self.high:
            raise ValueError(text)
        return number


@dataclass(frozen=True, slots=True)
class Size:
    """Parser for a number of bytes, plain or with a binary unit such as ``8MiB``."""

    low: int
    high: int

    @property
    def allowed(self) -> str:
        """What the message to the operator says is allowed."""
        bounds = f"from {self.low} to {self.high} bytes"
        return f"{bounds}, as a whole number with or without KiB, MiB or GiB"

    def __call__(self, text: str) -> int:
        match = _SIZE.fullmatch(text.strip())
        if match is None:
            raise ValueError(text)
        size = int(match[1]) * _SIZE_FACTORS[match[2]]
        if not self.low <= size <= self.high:
            raise ValueError(text)
        return size


@dataclass(frozen=True, slots=True)
class HostPort:
    """Parser for ``host:port``. Port 0 (the kernel chooses) only where one listens."""

    lowest_port: int = 0

    @property
    def allowed(self) -> str:
        """What the message to the operator says is allowed."""
        ports = f"a port from {self.lowest_port} to {MAX_PORT}"
        return f"HOST:PORT with {ports}, an IPv6 host in brackets"

    def __call__(self, text: str) -> Address:
        host, colon, port_text = text.rpartition(":")
        if not colon or not port_text.isascii() or not port_text.isdigit():
            raise ValueError(text)
        port = int(port_text)
        if not self.lowest_port <= port <= MAX_PORT:
            raise ValueError(text)
        return Address(_host(host), port)


def _host(text: str) -> str:
    if text.startswith("[") and text.endswith("]"):
        return str(ipaddress.IPv6Address(text[1:-1]))
    if not _HOST.fullmatch(text):
        raise ValueError(text)
    return text


@dataclass(frozen=True, slots=True)
class Url:
    """Parser for the base URL of an HTTP service; a trailing slash is dropped.

    With ``forms``, the name of one of them may stand before a plus sign.

    >>> Url()("http://127.0.0.1:2379/")
    'http://127.0.0.1:2379'
    """

    forms: Forms[Any] | None = None

    @property
    def allowed(self) -> str:
        """What the message to the operator says is allowed."""
        plain = "an http:// or https:// URL without user, query or fragment"
        if self.forms is None:
            return plain
        names = " or ".join(f"{name}+" for name in self.forms.names)
        return f"{plain}, with or without {names} before it"

    def __call__(self, text: str) -> str:
        if self.forms is not None and self.forms.name_of(text) not in self.forms.names:
            raise ValueError(text)
        parts = urlsplit(text if self.forms is None else plain_url(text))
        if parts.scheme not in ("http", "https") or not parts.hostname:
            raise ValueError(text)
        if parts.username is not None or parts.query or parts.fragment:
            raise ValueError(text)
        # Reading the port is what checks it: urlsplit itself lets any text pass.
        if parts.port == 0:
            raise ValueError(text)
        return text.rstrip("/")


@dataclass(frozen=True, slots=True)
class ServiceEntry:
    """Parser for one ``name=url`` pair."""

    allowed: str = f"NAME=URL, the URL being {Url().allowed}"

    def __call__(self, text: str) -> ServiceUrl:
        name, sign, url = text.partition("=")
        if not sign:
            raise ValueError(text)
        return ServiceUrl(Name()(name), Url()(url))


@dataclass(frozen=True, slots=True)
class Sha256:
    """Parser for a SHA-256 digest in hexadecimal."""

    allowed: str = "64 hexadecimal digits (see: bambootiller key new)"

    def __call__(self, text: str) -> str:
        digest = text.lower()
        if not re.fullmatch(r"[0-9a-f]{64}", digest):
            raise ValueError(text)
        return digest


@dataclass(frozen=True, slots=True)
class Listed:
    """Parser for a comma-separated list; every entry goes through ``of``."""

    of: Callable[[str], Any]

    @property
    def allowed(self) -> str:
        """What the message to the operator says is allowed."""
        return f"a comma-separated list, each entry {self.of.allowed}"

    def __call__(self, text: str) -> tuple[Any, ...]:
        values = tuple(self.of(part.strip()) for part in text.split(","))
        if len(set(values)) != len(values):
            raise ValueError(text)
        return values
