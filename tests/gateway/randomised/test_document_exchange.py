"""Documents over random orders of lists, watches, messages of peers, cuts and restarts.

At any time each process holds exactly the documents that the store had at the revision
up to which the process is complete, but for those that have changed since.
"""

import random
import unittest

from tests.gateway.common.document_exchange import (
    PREFIX,
    Link,
    Process,
    Store,
    use_loop,
)

KEYS = tuple(f"{PREFIX}b{number}" for number in range(5))
SEEDS = range(200)
STEPS = 150
#: Long enough for all that is queued for a peer to become due. Seconds.
SETTLED_AFTER_S = 10.0


class Schedule:
    """One random order of events."""

    def __init__(self, case, seed, loop):
        self.case, self.loop = case, loop
        self.rng = random.Random(seed)
        self.store = Store()
        self.processes = [Process(f"e{n}", reads=n < 3) for n in range(5)]
        self.links = [
            Link(first, second)
            for n, first in enumerate(self.processes)
            for second in self.processes[n + 1 :]
        ]

    def step(self):
        rng = self.rng
        self.loop.now += rng.choice((0.0, 0.05, 0.3))
        if rng.random() < 0.25:
            self.change_store()
        process = rng.choice(self.processes)
        if process.reads and (process.watched is None or rng.random() < 0.05):
            process.list(self.store)
        elif process.reads and rng.random() < 0.5:
            process.watch(self.store, rng.randint(1, 4))
        if rng.random() < 0.03:
            self.restart(process)
        for _ in range(3):
            link, number = rng.choice(self.links), rng.randrange(2)
            rng.choice((link.send, link.deliver, link.deliver))(number)
        if rng.random() < 0.05:
            link.close()
            link.open()
        self.check()

    def change_store(self):
        key = self.rng.choice(KEYS)
        if key in self.store.at(self.store.revision) and self.rng.random() < 0.4:
            self.store.remove(key)
        else:
            self.store.put(key, self.rng.choice((b"m0", b"m1")))

    def restart(self, process):
        links = [link for link in self.links if process in link.processes]
        for link in links:
            link.close()
        process.restart()
        for link in links:
            link.open()

    def check(self):
        for process in self.processes:
            complete = process.state.table.complete.get(PREFIX)
            held = {item.record.key: item for item in process.state.table.documents()}
            present = self.store.at(complete) if complete is not None else {}
            for key in KEYS if complete is not None else ():
                item = held.get(key)
                if item is not None and item.record.mod_revision > complete:
                    continue
                is_held = item is not None and not item.deleted
                self.case.assertEqual(
                    is_held, key in present, (process.name, key, complete)
                )
            used = {backend.instance for backend in process.state.fleet}
            expected = {
                key.removeprefix(PREFIX)
                for key, item in held.items()
                if not item.deleted
            }
            self.case.assertEqual(used, expected, process.name)

    def settle(self):
        for _ in range(4):
            self.loop.now += SETTLED_AFTER_S
            for process in self.processes:
                if process.reads:
                    if process.watched is None:
                        process.list(self.store)
                    process.watch(self.store, len(self.store.changes))
            for link in self.links:
                for number in (0, 1):
                    link.send(number)
                    while link.messages[1 - number]:
                        link.deliver(1 - number)
            self.check()


class TestDocumentExchange(unittest.TestCase):
    def test_no_removed_document_comes_back(self):
        """A replica that had left was used on: a document that a peer sent was older
        than a list that no longer had it."""
        loop = use_loop(self)
        for seed in SEEDS:
            with self.subTest(seed=seed):
                schedule = Schedule(self, seed, loop)
                for _ in range(STEPS):
                    schedule.step()
                schedule.settle()
                for process in schedule.processes:
                    self.assertEqual(
                        process.state.table.complete.get(PREFIX),
                        schedule.store.revision,
                        process.name,
                    )
