"""Seeds whose faults brought out a fault of the programs, or spoiled calls later."""

import unittest

from tests.soak.failures.seeds import again
from tests.soak.faults import FOURTH_FAULTS


class TestSeeds(unittest.IsolatedAsyncioTestCase):
    async def test_seed_125(self):
        """A hang-up during a start ended the process before its handler stood."""
        await again(self, 125)

    async def test_seed_135(self):
        """Wrong answers stayed behind when the fault that brought them was mended, and
        cut a stream seconds later."""
        await again(self, 135)

    async def test_seed_146(self):
        """The same, with a call whose outcome then wasn't known; later also a stopping
        entry that closed a connection on which a caller was sending."""
        await again(self, 146)

    async def test_seed_544(self):
        """A request ended an engine that was leaving, and the report of its next start
        undid the leave."""
        await again(self, 544, FOURTH_FAULTS)
