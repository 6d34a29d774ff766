"""What a process computes for each event, prepared at any size, to see what it costs.

A preparation returns a function that carries the work out once. Each runs in a process
of its own.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from dataclasses import replace
from itertools import count as counter
from types import SimpleNamespace

from bambootiller.catalogue import Catalogue
from bambootiller.instanceforms import ListedInstance, parse_http_sd
from bambootiller.instances import ListHistory
from bambootiller.peering import wire
from bambootiller.peering.watcher import Watcher
from bambootiller.rpc import bambootiller_pb2 as pb
from bambootiller.slotkeeping.worklist import Worklist
from bambootiller_core import rendezvous
from bambootiller_core.documents import Document, Documents
from bambootiller_core.gossip import Gossip, Message, Send
from bambootiller_core.membership import Statement, Status
from bambootiller_core.types import Role
from bambootiller_standins.capacity import _state as state
from bambootiller_standins.capacity._holdings import membership_of
from bambootiller_standins.capacity._state import Size
from bambootiller_standins.capacity._target import TARGET

Work = Callable[[], object]
Preparation = Callable[[int], Work]

WORKS: dict[str, Preparation] = {}

TICK = 0.05
#: As many changes as ride on a probe.
DEATHS_A_MESSAGE = 8
TICKS_A_SECOND = round(1 / TICK)


def work(preparation: Preparation) -> Preparation:
    """Decorator that adds a preparation under its function's name."""
    WORKS[preparation.__name__] = preparation
    return preparation


@work
def rest_second(members: int) -> Work:
    """One second of gossip at rest: the ticks, and what peers answer."""
    gossip = Gossip(membership_of(members), _documents(), random.Random(1))
    gossip.documents.complete = True
    times = counter(start=20)

    def run() -> None:
        second = next(times)
        for number in range(TICKS_A_SECOND):
            now = second + number * TICK
            for effect in gossip.tick(now):
                _answer(gossip, now, effect)

    for _ in range(30):
        run()
    return run


@work
def suspicion_sweep(members: int) -> Work:
    """One tick in which nothing is sent, but the suspicions are looked through."""
    membership = membership_of(members)
    times = counter()
    return lambda: membership.tick(10.0 + next(times) * 0.2)


@work
def watcher_choice(members: int) -> Work:
    """Whether this process is one of its zone's watchers, asked twice a second."""
    membership = membership_of(members)
    gossip = Gossip(membership, Documents(), random.Random(1))
    me = membership.me
    settings = SimpleNamespace(instance="nobody", zone=me.zone, watchers_per_zone=2)
    watcher = Watcher(SimpleNamespace(settings=settings), gossip, None)
    return watcher.choose


@work
def member_joins(members: int) -> Work:
    """A process starts anew: its statement is merged, the set of peers chosen anew."""
    return _events(members, Status.ALIVE)


@work
def member_dies(members: int) -> Work:
    """A death is merged, the set of peers chosen anew, routing reads the views."""
    return _events(members, Status.DEAD)


@work
def zone_dies(members: int) -> Work:
    """An eighth of the members die, told of in messages of a few deaths each."""
    membership = membership_of(members)
    incarnations = counter(start=1_800_000_000)
    lost = [state.member(n) for n in range(0, members, TARGET.zones)]

    def run() -> None:
        incarnation = next(incarnations)
        dead = [
            Statement(replace(one, incarnation=incarnation), Status.DEAD)
            for one in lost
        ]
        for start in range(0, len(dead), DEATHS_A_MESSAGE):
            membership.merge(20.0, dead[start : start + DEATHS_A_MESSAGE])
            membership.peers()
            membership.members(Role.AGENT)

    return run


@work
def full_exchange(members: int) -> Work:
    """All members are put into a message, encoded, decoded and compared."""
    membership = membership_of(members)

    def run() -> None:
        message = Message("i-crowd", statements=membership.statements())
        data = wire.request_of(message).SerializeToString()
        read = wire.from_request(pb.ExchangeRequest.FromString(data))
        membership.merge(20.0, read.statements)

    return run


@work
def instance_list_answer(members: int) -> Work:
    """An answer of the instance list is parsed, validated and compared."""
    body = _listing(members)
    history = ListHistory()
    membership = membership_of(members)

    def run() -> None:
        answer = parse_http_sd(body)
        history.answered(answer)
        _take_over(membership, history.listed())

    return run


@work
def slot_mark(entries: int) -> Work:
    """A model is marked as due: where this entry stands among all entries."""
    names = [state.member(number * 10).instance for number in range(entries)]
    worklist = Worklist(names[0])
    numbers = counter()
    size = Size()
    return lambda: worklist.mark(0.0, state.key_of(next(numbers), size), names)


@work
def slot_sweep(models: int) -> Work:
    """A sweep marks every model, at the target's number of entries."""
    size = Size(models=models)
    entries = range(TARGET.entries)
    names = [state.member(number * 10).instance for number in entries]
    keys = [state.key_of(number, size) for number in range(models)]
    worklist = Worklist(names[0])

    def run() -> None:
        for key in keys:
            worklist.mark(0.0, key, list(names))

    return run


@work
def rank_agents(agents: int) -> Work:
    """Rendezvous ranking, as a placement does it over all agents."""
    names = [state.member(number).instance for number in range(agents)]
    return lambda: rendezvous.ranked("customer-001/assistant-0001", names)


@work
def template_change(adapters: int) -> Work:
    """A changed template is accepted and parsed; so many adapters in the fleet."""
    size = Size(adapters=adapters)
    documents = Documents()
    catalogue = Catalogue(documents)
    value = state.template(0, size)
    key = state.templates(Size(models=0, adapters=0))[0].key
    revisions = counter(start=1)

    def run() -> object:
        documents.offer(Document(key, next(revisions), value))
        return catalogue

    return run


@work
def table_change(models: int) -> Work:
    """A changed slot table is accepted and parsed, among so many."""
    size = Size(models=models)
    documents = Documents()
    catalogue = Catalogue(documents)
    for document in state.tables(size):
        documents.offer(document)
    changed = state.tables(Size())[0]
    revisions = counter(start=10_000)

    def run() -> object:
        documents.offer(Document(changed.key, next(revisions), changed.value))
        return catalogue

    return run


def _documents() -> Documents:
    documents = Documents()
    size = Size()
    for document in state.templates(size) + state.tables(size):
        documents.offer(document)
    return documents


def _answer(gossip: Gossip, now: float, effect: object) -> None:
    """Answer a message as a peer does that knows nothing new."""
    if not isinstance(effect, Send):
        return
    wire.request_of(effect.message).SerializeToString()
    answer = Message(effect.to.instance)
    if effect.message.compares:
        digests = effect.message.members_digest, effect.message.documents_digest
        answer = Message(
            effect.to.instance, members_digest=digests[0], documents_digest=digests[1]
        )
    gossip.on_reply(now, effect.ticket, answer)
    gossip.on_request(now, Message(effect.to.instance))


def _events(members: int, status: Status) -> Work:
    membership = membership_of(members)
    incarnations = counter(start=1_800_000_000)
    one = state.member(3)

    def run() -> None:
        told = replace(one, incarnation=next(incarnations))
        membership.merge(20.0, [Statement(told, status)])
        membership.peers()
        membership.members(Role.AGENT)

    return run


def _listing(members: int) -> bytes:
    rows = [state.member(number) for number in range(members)]
    return json.dumps(
        [
            {
                "targets": [one.address],
                "labels": {
                    "instance": one.instance,
                    "role": one.role.value,
                    "zone": one.zone,
                    "region": one.region,
                    "state": "live",
                },
            }
            for one in rows
        ]
    ).encode()


def _take_over(membership: object, listed: dict[str, ListedInstance]) -> None:
    membership.listed([item.member() for item in listed.values()], ())
