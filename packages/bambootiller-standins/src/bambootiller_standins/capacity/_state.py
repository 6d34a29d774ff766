"""State of any size, as a fleet would hold it: members, templates, slot tables.

All of it passes through the encodings of the wire and of the key-value service, so that
strings are as little shared as in a process that has received them.
"""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass

from bambootiller.peering import wire
from bambootiller.rpc import bambootiller_pb2 as pb
from bambootiller_core.documents import SLOTS_PREFIX, TEMPLATES_PREFIX, Document
from bambootiller_core.gossip import Message
from bambootiller_core.membership import Statement, Status
from bambootiller_core.slots import Slot, SlotTable
from bambootiller_core.types import Member, ModelKey, Role
from bambootiller_standins.capacity._target import TARGET

FIRST_PORT = 10_000
ENTRY_EVERY = 10


@dataclass(frozen=True, slots=True)
class Size:
    """How much state; the defaults are those of the target."""

    members: int = TARGET.members
    models: int = TARGET.models
    adapters: int = TARGET.adapters
    customers: int = TARGET.customers
    callers: int = TARGET.callers
    replicas: int = TARGET.agents

    def share(self, part: float) -> Size:
        """The same with ``part`` of the members, models, adapters and replicas.

        The number of customers stays, so their templates shrink.
        """
        return Size(
            members=max(2, round(self.members * part)),
            models=round(self.models * part),
            adapters=round(self.adapters * part),
            customers=self.customers,
            callers=self.callers,
            replicas=round(self.replicas * part),
        )


def member(number: int, address: str | None = None) -> Member:
    """The process of that number; every tenth is an entry.

    Its address is one of the range that is set aside for documentation, if none is
    given, and reaches nobody.
    """
    role = Role.AGENT if number % ENTRY_EVERY else Role.ENTRY
    zone = number % TARGET.zones
    where = address or f"192.0.2.{number % 250 + 1}:{FIRST_PORT + number}"
    region = f"region-{zone % TARGET.regions}"
    return Member(
        f"i-{number:012d}", role, f"zone-{zone}", region, where, 1_700_000_000
    )


def statements(count: int, address: str | None = None) -> list[Statement]:
    """Statements about ``count`` members, as they come out of a message."""
    told = tuple(Statement(member(n, address), Status.ALIVE) for n in range(count))
    sent = wire.request_of(Message("i-crowd", statements=told)).SerializeToString()
    return list(wire.from_request(pb.ExchangeRequest.FromString(sent)).statements)


def customer(number: int) -> str:
    """A customer's name."""
    return f"customer-{number:03d}"


def model(number: int) -> str:
    """A model's name."""
    return f"assistant-{number:04d}"


def key_of(number: int, size: Size) -> ModelKey:
    """The model of that number; models are dealt to the customers in turn."""
    return ModelKey(customer(number % size.customers), model(number))


def template(number: int, size: Size, version: int = 1) -> bytes:
    """The stored template of one customer, with its share of models and adapters."""
    mine = [n for n in range(size.models) if n % size.customers == number]
    models = {model(n): _model(n, size) for n in mine}
    callers = {f"caller-{n:02d}": _caller(number, n) for n in range(size.callers)}
    form = {
        "customer": customer(number),
        "version": version,
        "models": models,
        "callers": callers,
    }
    return json.dumps(form).encode()


def templates(size: Size, revision: int = 1) -> list[Document]:
    """The template of every customer, as a document."""
    return [
        Document(TEMPLATES_PREFIX + customer(n), revision + n, template(n, size))
        for n in range(size.customers)
    ]


def table(number: int, size: Size) -> SlotTable:
    """The slot table of one model; its holders are agents of the fleet."""
    count = _dealt(size.replicas, size.models, number)
    slots = tuple(
        Slot(n, _holder(number * 7 + n, size), fence=n + 1) for n in range(count)
    )
    return SlotTable(
        key_of(number, size),
        1,
        slots,
        writer=f"i-{number:012d}/5f0c1d2e3a4b5c6d",
        cap=count,
        fence=count,
    )


def tables(size: Size, revision: int = 1000) -> list[Document]:
    """The slot table of every model, as a document."""
    found = (table(n, size) for n in range(size.models))
    return [
        Document(f"{SLOTS_PREFIX}{one.key}", revision + n, one.encode())
        for n, one in enumerate(found)
    ]


def _model(number: int, size: Size) -> dict[str, object]:
    count = _dealt(size.adapters, size.models, number)
    names = [f"adapter-{number:04d}-{n:03d}" for n in range(count)]
    return {
        "replicas": _dealt(size.replicas, size.models, number),
        "memory_bytes": "20GiB",
        "adapters": names,
        "adapter_bytes": "256MiB",
        "load_ms": 2500,
    }


def _caller(owner: int, number: int) -> dict[str, object]:
    return {"key_sha256": key_digest(owner, number), "priority": number % 10}


def caller_key(owner: int, number: int) -> str:
    """The bearer key of a customer's caller."""
    return f"key-{owner}-{number}"


def key_digest(owner: int, number: int) -> str:
    """The digest of that key, as a template holds it."""
    return hashlib.sha256(caller_key(owner, number).encode()).hexdigest()


def _holder(number: int, size: Size) -> str:
    agents = max(1, size.members - size.members // ENTRY_EVERY - 1)
    chosen = number % agents
    return member(chosen + chosen // (ENTRY_EVERY - 1) + 1).instance


def _dealt(total: int, among: int, number: int) -> int:
    """How many of ``total`` the one of that number gets, dealt evenly."""
    return total // among + (number < total % among) if among else 0
