"""Customers of the gateway, the keys by which their calls are told apart, and quotas.

A key is kept as its digest from the moment the configuration is read: what holds a key
can be logged, copied or told to a peer by mistake.

Example::

    customers = Customers.build([(customer, ("k-1", "k-2"))])
    holder = customers.holder(digest(b"k-1"))
"""

from __future__ import annotations

import enum
import hashlib
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

#: Bytes of a digest; enough that two keys don't share one.
DIGEST_BYTES = 16
SCHEME = b"bearer"


class CustomerConflict(ValueError):
    """One key, or one name, belongs to two customers."""


class QuotaUnit(enum.Enum):
    """What a quota counts."""

    CALL = "call"
    TOKEN = "token"


@dataclass(frozen=True, slots=True)
class Quota:
    """How much a customer may run over all entries: so much a second, and a burst.

    ``plain_tokens`` is what a call that names no tokens counts where tokens are
    counted.
    """

    rate_per_s: float
    burst: float
    unit: QuotaUnit = QuotaUnit.CALL
    plain_tokens: float = 0.0

    def cost(self, tokens: int | None) -> float:
        """What a call counts that names so many tokens, or none.

        >>> Quota(10.0, 10.0, QuotaUnit.TOKEN, plain_tokens=200).cost(None)
        200
        """
        if self.unit is QuotaUnit.CALL:
            return 1.0
        return self.plain_tokens if tokens is None else tokens


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer. Its ``priority`` goes before a route's, where 0 is first; None leaves
    the route's. Without a ``quota`` there is no limit."""

    name: str
    priority: int | None = None
    quota: Quota | None = None


@dataclass(frozen=True, slots=True)
class Customers:
    """All customers of a configuration, and who holds which key."""

    by_name: Mapping[str, Customer]
    _by_digest: Mapping[bytes, Customer]

    @classmethod
    def build(cls, keyed: Iterable[tuple[Customer, Sequence[str]]]) -> Customers:
        """Customers with their keys, which are kept as digests.

        Raises :class:`CustomerConflict`, which doesn't tell the key.
        """
        by_name: dict[str, Customer] = {}
        by_digest: dict[bytes, Customer] = {}
        for customer, keys in keyed:
            if by_name.setdefault(customer.name, customer) is not customer:
                raise CustomerConflict(f"two customers are called {customer.name!r}")
            for key in keys:
                holder = by_digest.setdefault(digest(key.encode()), customer)
                if holder is not customer:
                    raise CustomerConflict(
                        f"customers {holder.name!r} and {customer.name!r} share a key"
                    )
        return cls(by_name, by_digest)

    def holder(self, key_digest: bytes | None) -> Customer | None:
        """The customer that holds the key, if any."""
        return None if key_digest is None else self._by_digest.get(key_digest)

    def keys_by_name(self) -> dict[str, frozenset[bytes]]:
        """The digests of each customer's keys."""
        found: dict[str, set[bytes]] = {name: set() for name in self.by_name}
        for key, customer in self._by_digest.items():
            found[customer.name].add(key)
        return {name: frozenset(keys) for name, keys in found.items()}


def digest(key: bytes) -> bytes:
    """What is kept of a key."""
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest()


def credential(values: Sequence[bytes]) -> bytes | None:
    """The digest of the key that a call's ``Authorization`` fields carry; None unless
    there is just one, with a key of the scheme Bearer.

    >>> credential([b"Bearer k-1"]) == credential([b"bearer   k-1 "]) == digest(b"k-1")
    True
    >>> credential([b"Basic k-1"]), credential([b"Bearer a", b"Bearer b"])
    (None, None)
    """
    if len(values) != 1:
        return None
    parts = values[0].split()
    if len(parts) != 2 or parts[0].lower() != SCHEME:
        return None
    return digest(parts[1])
