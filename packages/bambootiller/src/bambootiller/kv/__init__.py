"""Adapters for the platform's key-value service, registered by name.

A URL of ``--kv-url`` names its adapter before a plus sign, such as
``etcd+http://10.0.0.5:2379``; without a name ``etcd`` is meant. To add an adapter,
write a module with a class that has the calls of
:class:`~bambootiller_core.ports.KeyValue`, and a function here that opens it.

    >>> kv = open_key_value(Access(("http://127.0.0.1:2379",)))
"""

from collections.abc import Callable
from dataclasses import dataclass

from bambootiller._forms import Forms, plain_url
from bambootiller_core.ports import KeyValue

__all__ = ["ADAPTERS", "Access", "open_key_value"]


@dataclass(frozen=True, slots=True)
class Access:
    """Where the service is, and the name and password for it if it wants them."""

    urls: tuple[str, ...]
    user: str | None = None
    password: str | None = None


Opener = Callable[[Access], KeyValue]

#: The adapters by name.
ADAPTERS: Forms[Opener] = Forms(default="etcd")


def open_key_value(access: Access) -> KeyValue:
    """The service at ``access.urls``, which all name the same adapter."""
    if not access.urls:
        raise ValueError("urls is empty; at least one endpoint is needed")
    opener = ADAPTERS.of(access.urls[0])
    urls = tuple(plain_url(url) for url in access.urls)
    return opener(Access(urls, access.user, access.password))


@ADAPTERS.register("etcd")
def _open_etcd(access: Access) -> KeyValue:
    # Imported here, so that a command that needs no service doesn't load the client.
    from bambootiller.kv.etcd import EtcdKeyValue

    return EtcdKeyValue(access.urls, access.user, access.password)
