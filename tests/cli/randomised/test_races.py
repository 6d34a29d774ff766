"""Operators who race one another over a service that loses answers, at random."""

import asyncio
import unittest
from collections import deque

from hypothesis import given, strategies as st

from bambootiller.operators.changes import (
    Applied,
    Changes,
    LostRace,
    OutcomeUnknown,
    Unchanged,
)
from bambootiller.operators.keys import template_key
from bambootiller.templates import parse_stored
from bambootiller_core.ports import Unavailable
from tests.cli.common import author, draft, trail
from tests.common.fakekv import FakeKeyValue, Fault

OPERATORS = 4
NOTHING_WRITTEN = (LostRace, Unavailable)


async def everybody(kv: FakeKeyValue, replicas: list[int]):
    """All operators apply at once; between any two calls another may act."""

    async def yielding(attempt):
        await asyncio.sleep(0)

    async def one(number: int):
        await asyncio.sleep(0)
        mine = author(f"op-{number}", token=f"token-{number}")
        return await Changes(kv).apply(draft(replicas[number]), mine, yielding)

    outcomes = await asyncio.gather(*(one(number) for number in range(OPERATORS)))
    kv.land_delayed()
    return outcomes


class Interleaved(FakeKeyValue):
    """Lets other tasks run before each call takes effect.

    ``lands`` says for each read by key whether delayed writes land just before it.
    """

    def __init__(self, lands=()):
        super().__init__()
        self._lands = deque(lands)

    async def get(self, key):
        await asyncio.sleep(0)
        if self._lands and self._lands.popleft():
            self.land_delayed()
        return await super().get(key)

    async def get_prefix(self, prefix):
        await asyncio.sleep(0)
        return await super().get_prefix(prefix)

    async def transact(self, compares, writes):
        await asyncio.sleep(0)
        return await super().transact(compares, writes)


class TestRaces(unittest.TestCase):
    @given(
        st.lists(st.integers(1, 9), min_size=OPERATORS, max_size=OPERATORS),
        st.lists(st.sampled_from(Fault), max_size=12),
        st.lists(st.booleans(), max_size=12),
    )
    def test_what_each_operator_is_told_agrees_with_the_trail(
        self, replicas, faults, lands
    ):
        """Symptoms: a change is lost, doubled, or reported as what it isn't.

        Several operators apply at once while answers are lost before or after the
        write, writes land late, and the service refuses calls. Whatever happens, the
        versions have no gap, each version has one writer, and each operator's outcome
        is true of the trail.
        """
        kv = Interleaved(lands)
        kv.faults.extend(faults)
        outcomes = asyncio.run(everybody(kv, replicas))
        records = trail(kv)
        versions = [record.version for record in records]
        self.assertEqual(versions, list(range(1, len(records) + 1)))
        tokens = [record.token for record in records]
        self.assertEqual(len(tokens), len(set(tokens)))
        for number, outcome in enumerate(outcomes):
            written = f"token-{number}" in tokens
            if isinstance(outcome, Applied):
                self.assertTrue(written, outcome)
                self.assertEqual(
                    records[outcome.record.version - 1].token, f"token-{number}"
                )
            elif isinstance(outcome, (Unchanged, *NOTHING_WRITTEN)):
                self.assertFalse(written, outcome)
            else:
                self.assertIsInstance(outcome, OutcomeUnknown)
        if records:
            stored = parse_stored(kv.records[template_key("forge")].value)
            self.assertEqual(stored.version, len(records))
