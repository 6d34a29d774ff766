"""Customers of the gateway, the API keys that identify their calls, and their quotas.

Only the digest of a key is kept, from the moment the configuration is read: an object
with the key itself could be logged, copied or sent to a peer by mistake.

Example::

    customers = Customers.build([(customer, ("k-1", "k-2"))])
    holder = customers.holder(digest(b"k-1"))
"""

from __future__ import annotations

import enum
import hashlib
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

#: The length of a digest in bytes; long enough that no two keys have the same digest.
DIGEST_BYTES = 16
SCHEME = b"bearer"


class CustomerConflict(ValueError):
    """Two customers have the same name or share a key."""


class QuotaUnit(enum.Enum):
    """The unit in which a quota counts calls."""

    CALL = "call"
    TOKEN = "token"


@dataclass(frozen=True, slots=True)
class Quota:
    """How much a customer may run on all entries together: a rate and a burst.

    ``rate_per_s`` is in units a second, ``burst`` in units. If the unit is tokens,
    ``plain_tokens`` is the cost of a call that states no number of tokens.
    """

    rate_per_s: float
    burst: float
    unit: QuotaUnit = QuotaUnit.CALL
    plain_tokens: float = 0.0

    def cost(self, tokens: int | None) -> float:
        """Return the cost of a call that states this number of tokens, or None.

        >>> Quota(10.0, 10.0, QuotaUnit.TOKEN, plain_tokens=200).cost(None)
        200
        """
        if self.unit is QuotaUnit.CALL:
            return 1.0
        return self.plain_tokens if tokens is None else tokens


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer.

    Its ``priority`` overrides that of the route, unless it is None; 0 is the highest.
    Without a ``quota`` the customer has no limit.
    """

    name: str
    priority: int | None = None
    quota: Quota | None = None


@dataclass(frozen=True, slots=True)
class Customers:
    """All customers of a configuration, with the digests of their keys."""

    by_name: Mapping[str, Customer]
    _by_digest: Mapping[bytes, Customer]

    @classmethod
    def build(cls, keyed: Iterable[tuple[Customer, Sequence[str]]]) -> Customers:
        """Build the table from customers and their keys, of which it keeps the digests.

        Raises :class:`CustomerConflict`, whose message doesn't reveal the key.
        """
        by_name: dict[str, Customer] = {}
        by_digest: dict[bytes, Customer] = {}
        for customer, keys in keyed:
            if by_name.setdefault(customer.name, customer) is not customer:
                raise CustomerConflict(f"two customers are named {customer.name!r}")
            for key in keys:
                holder = by_digest.setdefault(digest(key.encode()), customer)
                if holder is not customer:
                    raise CustomerConflict(
                        f"customers {holder.name!r} and {customer.name!r} share a key"
                    )
        return cls(by_name, by_digest)

    def holder(self, key_digest: bytes | None) -> Customer | None:
        """Return the customer that holds the key with this digest, None if there is
        none."""
        return None if key_digest is None else self._by_digest.get(key_digest)

    def keys_by_name(self) -> dict[str, frozenset[bytes]]:
        """Return the digests of each customer's keys."""
        found: dict[str, set[bytes]] = {name: set() for name in self.by_name}
        for key, customer in self._by_digest.items():
            found[customer.name].add(key)
        return {name: frozenset(keys) for name, keys in found.items()}


def digest(key: bytes) -> bytes:
    """Return the digest under which a key is kept."""
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest()


def credential(values: Sequence[bytes]) -> bytes | None:
    """Return the digest of the key in the ``Authorization`` header fields of a call.

    Returns None unless there is exactly one field, and it has the scheme Bearer.

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
