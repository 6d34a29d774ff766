"""Processes of the gateway that exchange documents, with a store and a clock of the
test's own."""

from collections import deque
from types import SimpleNamespace
from unittest import mock

from bambootiller.gateway import exchange
from bambootiller.gateway.exchange import Exchanger, PeerStream, Update
from bambootiller.gateway.gateway_state import GatewayState
from bambootiller_core.ports import Changed, Found, Record
from tests.gateway.common.samples import registration

PREFIX = "servers/"


def use_loop(case):
    """Have the streams of a test use a clock that only the test moves."""
    loop = Loop()
    patched = mock.patch.object(exchange.asyncio, "get_running_loop", lambda: loop)
    patched.start()
    case.addCleanup(patched.stop)
    return loop


class Loop:
    """A loop's clock, without timers: the schedule decides who sends when."""

    def __init__(self):
        self.now = 0.0

    def time(self):
        return self.now

    def call_at(self, when, callback):
        return SimpleNamespace(when=lambda: when, cancel=lambda: None)


class Directory:
    def config(self, record):
        return None

    def registration(self, record):
        instance = self.instance_of(record.key)
        holdings = {record.value.decode(): frozenset()}
        return registration(
            instance,
            address=f"127.0.0.1:{instance[1:]}",
            revision=record.mod_revision,
            holdings=holdings,
        )

    def instance_of(self, key):
        return key.removeprefix(PREFIX)


class Store:
    """The store, with all its history."""

    def __init__(self):
        self.revision = 1
        self.changes = []

    def put(self, key, value):
        self.revision += 1
        self.changes.append(Changed(Record(key, value, self.revision)))

    def remove(self, key):
        self.revision += 1
        self.changes.append(Changed(Record(key, b"", self.revision), deleted=True))

    def at(self, revision):
        """The records by key at a revision."""
        records = {}
        for change in self.changes:
            if change.record.mod_revision > revision:
                break
            records[change.record.key] = change.record
            if change.deleted:
                del records[change.record.key]
        return records

    def list(self):
        return Found(tuple(self.at(self.revision).values()), self.revision)

    def after(self, revision):
        return [item for item in self.changes if item.record.mod_revision > revision]


class Process:
    """One process of the gateway; ``reads`` is whether the store serves it."""

    def __init__(self, name, reads):
        self.name, self.reads = name, reads
        self.restart()

    def restart(self):
        events = SimpleNamespace(emit=lambda line: None)
        self.state = GatewayState(Directory(), events, lambda: 0.0)
        self.exchanger = Exchanger(self.name, self.state, events, None, lambda: 0.0)
        self.watched = None

    def list(self, store):
        found = store.list()
        self.state.apply_listing(PREFIX, found, "store")
        self.watched = found.revision

    def watch(self, store, most):
        for change in store.after(self.watched)[:most]:
            self.state.apply_document(change, "store")
            self.watched = max(self.watched, change.record.mod_revision)
        self.state.mark_complete({PREFIX: self.watched})


class Link:
    """The stream between two processes: a side and the messages to it for each."""

    def __init__(self, *processes):
        self.processes = processes
        self.open()

    def open(self):
        self.sides, self.messages = [], [deque(), deque()]
        for process in self.processes:
            side = PeerStream(
                process.name, process.state, self.fill, lambda: 1, 1.0, to_entry=True
            )
            process.exchanger._peer_streams.add(side)
            self.sides.append(side)

    @staticmethod
    def fill(update, peer_stream):
        """Add nothing to the documents."""

    def close(self):
        for process, side in zip(self.processes, self.sides):
            process.exchanger._peer_streams.discard(side)

    def send(self, number):
        update = self.sides[number]._next_update()
        self.messages[1 - number].append(update.SerializeToString())

    def deliver(self, number):
        if not self.messages[number]:
            return
        update = Update.FromString(self.messages[number].popleft())
        self.processes[number].exchanger._process(
            update, lambda update, peer_stream: None, self.sides[number]
        )
