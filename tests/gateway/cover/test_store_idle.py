"""A weight store that serves nobody while callers wait."""

import unittest

from bambootiller_core.gateway.store_idle import AGAIN_S, StoreIdle


class TestStoreIdle(unittest.TestCase):
    def setUp(self):
        self.idle = StoreIdle()

    def look(self, *times, loads=0, awaited=("tutor",)):
        return [self.idle.observe(now, loads, awaited) for now in times]

    def test_a_spell_is_told_once_and_again_while_it_goes_on(self):
        told = self.look(1.0, 1.5, 2.1, 2.5, 2.1 + AGAIN_S)
        self.assertEqual([item is not None for item in told], [0, 0, 1, 0, 1])
        self.assertAlmostEqual(self.idle.total_s, 1.1 + AGAIN_S)

    def test_the_pause_between_two_loads_is_none(self):
        self.assertEqual(self.look(1.0, 1.4), [None, None])
        self.assertEqual(self.look(1.6, loads=1), [None])
        self.assertEqual(self.look(4.0, 4.4), [None, None])
        self.assertAlmostEqual(self.idle.total_s, 0.8)

    def test_nobody_waits_for_what_engines_have_copies_of(self):
        self.assertEqual(self.look(1.0, 9.0, awaited=()), [None, None])
        self.assertEqual(self.idle.total_s, 0.0)
