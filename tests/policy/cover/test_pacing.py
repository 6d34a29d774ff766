"""The pace of loads from the weight store."""

import unittest

from bambootiller_core.pacing import Start, StorePacer, WaitUntil


class StorePacerTest(unittest.TestCase):
    def test_no_more_loads_than_run_at_full_speed_start_at_once(self):
        pacer = StorePacer(at_once=2)
        for _ in range(2):
            self.assertEqual(pacer.may_start(0.0, urgency=0), Start())
            pacer.started(0.0)
        self.assertIsInstance(pacer.may_start(0.0, urgency=0), WaitUntil)
        pacer.finished(1.0)
        self.assertEqual(pacer.may_start(1.0, urgency=0), Start())

    def test_a_slowed_store_is_left_to_urgent_loads_until_the_news_is_old(self):
        pacer = StorePacer()
        for _ in range(3):
            pacer.started(0.0)
            pacer.finished(10.0, seconds=10.0, alone_s=2.0)
        self.assertIsInstance(pacer.may_start(10.0, urgency=9), WaitUntil)
        self.assertEqual(pacer.may_start(10.0, urgency=1), Start())
        self.assertEqual(pacer.may_start(200.0, urgency=9), Start())
