"""Turns of the weight store that served none of the callers who were waiting."""

import unittest

from tests.gateway.common.rare_replay import Patience, RareReplay

LOAD_S = 13.2
MODELS = 24
GROUP = 8
#: Callers of long drafts: they wait for sixteen seconds, and have thirty in all.
DRAFTS = Patience(wait_s=16.0, away_s=30.0, time_s=30.0)


def asked(first, rate):
    """The models of one group are asked for so often, the others hardly ever."""
    names = [f"m{number}" for number in range(MODELS)]
    return {
        name: rate if first <= number < first + GROUP else 0.002
        for number, name in enumerate(names)
    }


class TestTurnsOfCallersWhoHaveLeft(unittest.TestCase):
    """The turn went to the model that had been refused most, seconds after its last
    caller had gone."""

    def test_no_turn_goes_to_a_model_that_nobody_waits_for_while_others_wait(self):
        for seed in range(8):
            shifts = [(12.0, asked(GROUP, 0.25)), (24.0, asked(2 * GROUP, 0.25))]
            replay = RareReplay(
                seed,
                8,
                asked(0, 0.25),
                copied=[],
                load_s=LOAD_S,
                patience=DRAFTS,
                shifts=shifts,
            )
            replay.run(60.0)
            vain = [turn for turn in replay.turns if turn.most and not turn.callers]
            with self.subTest(seed=seed):
                self.assertEqual(vain, [])
