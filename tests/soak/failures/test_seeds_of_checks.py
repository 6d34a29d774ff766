"""Seeds that brought out a fault of the checks."""

import unittest

from tests.soak.failures.seeds import again
from tests.soak.faults import SECOND_FAULTS


class TestSeeds(unittest.IsolatedAsyncioTestCase):
    async def test_seed_104(self):
        """The check took a refused connection to a stopped entry for a lost answer."""
        await again(self, 104)

    async def test_seed_108(self):
        """The store was away twice within 3 s of a replica's leave."""
        await again(self, 108)

    async def test_seed_136(self):
        """The same as seed 104; later also a fault of the programs: an entry closed a
        connection on which a caller was sending, as its planned stop ended."""
        await again(self, 136)

    async def test_seed_140(self):
        """A replica left while the store was away, which came back for half a second
        only before it was away again."""
        await again(self, 140)

    async def test_seed_300(self):
        """A replica that a request ended was listed as ready, though it had said that
        it leaves."""
        await again(self, 300, SECOND_FAULTS)
