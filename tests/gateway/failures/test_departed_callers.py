"""Loads from the weight store that serve none of the waiting callers."""

import unittest

from tests.gateway.common.refusal_replay import CallerTimeouts, RefusalReplay

LOAD_S = 13.2
MODELS = 24
GROUP_SIZE = 8
#: Callers of long drafts: they wait for 16 s at a time and for 30 s in all.
DRAFT_TIMEOUTS = CallerTimeouts(
    max_wait_s=16.0, max_return_delay_s=30.0, total_time_s=30.0
)


def group_rates(first, rate):
    """Returns call rates with which one group of models is called at the given rate and
    the others hardly ever."""
    names = [f"m{number}" for number in range(MODELS)]
    return {
        name: rate if first <= number < first + GROUP_SIZE else 0.002
        for number, name in enumerate(names)
    }


class TestStoreLoadsOfDepartedCallers(unittest.TestCase):
    """Symptom: the store loads a model that nobody waits for, while others wait.

    The load was that of the model refused most, seconds after its last caller had left.
    """

    def test_no_load_starts_for_a_model_without_callers_while_others_wait(self):
        for seed in range(8):
            shifts = [
                (12.0, group_rates(GROUP_SIZE, 0.25)),
                (24.0, group_rates(2 * GROUP_SIZE, 0.25)),
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
            useless_loads = [
                load_start
                for load_start in replay.store_load_starts
                if load_start.max_other_callers and not load_start.callers
            ]
            with self.subTest(seed=seed):
                self.assertEqual(useless_loads, [])
