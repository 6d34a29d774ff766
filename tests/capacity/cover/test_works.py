import unittest

from bambootiller_standins.capacity._holdings import HOLDINGS
from bambootiller_standins.capacity._isolated import HOLDING_SIZES, WORK_SIZES
from bambootiller_standins.capacity._works import WORKS

SMALL = 40


class WorksTests(unittest.TestCase):
    def test_every_work_is_measured_and_can_be_carried_out_again_and_again(self):
        self.assertEqual(set(WORKS), set(WORK_SIZES))
        for name, prepare in WORKS.items():
            with self.subTest(name=name):
                run = prepare(SMALL)
                for _ in range(3):
                    run()

    def test_every_holding_is_measured_and_can_be_built_empty_and_filled(self):
        self.assertEqual(set(HOLDINGS), set(HOLDING_SIZES))
        for name, build in HOLDINGS.items():
            with self.subTest(name=name):
                self.assertIsNotNone(build(1))
                self.assertIsNotNone(build(SMALL))
