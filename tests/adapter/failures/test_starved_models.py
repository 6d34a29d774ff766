"""Rarely used models that are asked for again and again, on real processes."""

import unittest

from tests.adapter.common.rare_models import RareModelFleet

SECONDS = 60.0
#: What is asked for from the start on can be served until the end: the weight store
#: brings all models that no engine has within the time that is left. Seconds.
REQUESTED_BY_S = 8.0
#: A load from the store begins so long after the one before has ended: what makes way
#: ends its runs first. Seconds.
MAX_IDLE_S = 2.0


class TestStarvedModels(unittest.IsolatedAsyncioTestCase):
    """The weight store stood idle while callers were refused for what only it has, and
    models asked for from the first second on were passed over."""

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
