"""Starvation of rarely used models that are requested repeatedly, with real
processes."""

import unittest

from tests.adapter.common.rare_models import RareModelFleet

SECONDS = 60.0
#: Models first requested by then can all be served before the end: the remaining time
#: suffices to load every model that no engine has from the weight store. Seconds.
REQUESTED_BY_S = 8.0
#: How long the weight store may be idle between two loads: the model to be evicted
#: first finishes its runs. Seconds.
MAX_IDLE_S = 2.0


class TestStarvedModels(unittest.IsolatedAsyncioTestCase):
    """Failure: the weight store was idle while callers of models that only it has were
    refused, and models requested since the first second weren't loaded.
    """

    async def test_who_asks_again_and_again_is_served(self):
        async with RareModelFleet(seed=1) as fleet:
            await fleet.begin()
            losses = [
                (10.0, lambda fleet: fleet.restart_empty(0)),
                (12.0, lambda fleet: fleet.remove_engine(1)),
            ]
            await fleet.run_load(SECONDS, losses)
            idle = [end - begin for begin, end in fleet.idle_store_spans(SECONDS)]
            self.assertLessEqual(max(idle, default=0.0), MAX_IDLE_S)
            starved = fleet.starved(requested_by_s=REQUESTED_BY_S)
            log_excerpt = fleet.log_excerpt({model for (model, _), _ in starved})
            self.assertEqual(starved, [], log_excerpt)
