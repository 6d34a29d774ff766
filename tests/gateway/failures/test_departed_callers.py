"""Turns of the weight store that served none of the callers who were waiting."""

import unittest

from tests.gateway.common.refusal_replay import CallerTimeouts, RefusalReplay

LOAD_S = 13.2
MODELS = 24
GROUP = 8
#: Callers of long drafts: they wait for sixteen seconds, and have thirty in all.
DRAFT_TIMEOUTS = CallerTimeouts(
    max_wait_s=16.0, max_return_delay_s=30.0, total_time_s=30.0
)


def group_rates(first, rate):
    """The models of one group are asked for so often, the others hardly ever."""
    names = [f"m{number}" for number in range(MODELS)]
    return {
        name: rate if first <= number < first + GROUP else 0.002
        for number, name in enumerate(names)
    }


class TestStoreLoadsOfDepartedCallers(unittest.TestCase):
    """The turn went to the model that had been refused most, seconds after its last
    caller had gone."""

    def test_no_load_starts_for_a_model_without_callers_while_others_wait(self):
        for seed in range(8):
            shifts = [
                (12.0, group_rates(GROUP, 0.25)),
                (24.0, group_rates(2 * GROUP, 0.25)),
            ]
            replay = RefusalReplay(
                seed,
                8,
                group_rates(0, 0.25),
                copied=[],
                load_s=LOAD_S,
                timeouts=DRAFT_TIMEOUTS,
                shifts=shifts,
            )
            replay.run(60.0)
            vain = [
                start
                for start in replay.store_load_starts
                if start.max_other_callers and not start.callers
            ]
            with self.subTest(seed=seed):
                self.assertEqual(vain, [])
