"""What a process holds, built at any size, to see what memory it takes.

Each builder returns the object that must stay alive. A builder runs in a process of its
own, so its imports stand here, inside, where they are counted before the state is.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from bambootiller.catalogue import Catalogue
from bambootiller_core.backend import BackendConfig, BackendCore
from bambootiller_core.decisions import DecisionLog
from bambootiller_core.documents import Documents
from bambootiller_core.gossip import Gossip
from bambootiller_core.membership import Membership
from bambootiller_core.types import Role
from bambootiller_standins.capacity import _state as state
from bambootiller_standins.capacity._state import Size

Builder = Callable[[int], object]

HOLDINGS: dict[str, Builder] = {}


def holding(builder: Builder) -> Builder:
    """Decorator that adds a builder under its function's name."""
    HOLDINGS[builder.__name__] = builder
    return builder


def membership_of(count: int) -> Membership:
    """A membership that has heard of ``count`` members."""
    me = state.member(count, "192.0.2.251:9000")
    membership = Membership(me, random.Random(1))
    membership.merge(0.0, state.statements(count))
    return membership


@holding
def members(count: int) -> object:
    """Members, with the views that routing reads and the set of peers."""
    membership = membership_of(count)
    return membership, membership.members(), membership.members(Role.AGENT)


@holding
def slot_tables(count: int) -> object:
    """Slot tables as documents and parsed, at the target's replicas for each model."""
    size = Size(models=count, replicas=round(count * Size().replicas / Size().models))
    return _catalogue(state.tables(size))


@holding
def models(count: int) -> object:
    """Models without adapters, as documents and parsed."""
    return _catalogue(state.templates(Size(models=count, adapters=0)))


@holding
def adapters(count: int) -> object:
    """Adapters, of the target's number of models, as documents and parsed."""
    return _catalogue(state.templates(Size(adapters=count)))


@holding
def callers(count: int) -> object:
    """Callers, dealt to the target's number of customers; no models."""
    each = count // Size().customers
    return _catalogue(state.templates(Size(models=0, adapters=0, callers=each)))


@holding
def templates(count: int) -> object:
    """Customers' templates with one model and one caller each."""
    size = Size(models=count, adapters=0, customers=count, callers=1)
    return _catalogue(state.templates(size))


@holding
def decisions(count: int) -> object:
    """Records of decisions about so many subjects, one each."""
    log = DecisionLog()
    for number in range(count):
        log.record(
            float(number),
            f"request/{number:032x}",
            "relay",
            "answered",
            "the agent answered",
            instance=state.member(number).instance,
            wait_ms=number,
        )
    return log


@holding
def backend_models(count: int) -> object:
    """An agent's own decisions' state: templates and tables of so many models."""
    size = Size(models=count, adapters=0)
    documents, catalogue = Documents(), None
    catalogue = Catalogue(documents)
    core = BackendCore(
        state.member(1).instance, BackendConfig(), DecisionLog(), random.Random(1)
    )
    catalogue.subscribe(
        lambda template: core.on_template(0.0, template),
        lambda table: core.on_slot_table(0.0, table),
    )
    for document in state.templates(size) + state.tables(size):
        documents.offer(document)
    return core, catalogue


@holding
def outbox(count: int) -> object:
    """News that is still to be passed on, after a burst of so many changes."""
    membership = membership_of(2)
    gossip = Gossip(membership, Documents(), random.Random(1))
    membership.merge(1.0, state.statements(count))
    return gossip


def _catalogue(documents: list) -> object:
    held = Documents()
    catalogue = Catalogue(held)
    for document in documents:
        held.offer(document)
    return held, catalogue
