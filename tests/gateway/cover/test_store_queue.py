"""When the weight store starts and ends the queued loads of a plan."""

import unittest

from bambootiller_core.gateway.store_queue import (
    Oversubscription,
    StartReason,
    StoreQueue,
)

LOAD_S = 6.0


class TestStoreQueue(unittest.TestCase):
    def test_loads_start_at_once_up_to_the_stores_concurrency(self):
        queue = StoreQueue(2, [])
        self.assertEqual(queue.add(LOAD_S), (0.0, LOAD_S))
        self.assertEqual(queue.add(LOAD_S), (0.0, LOAD_S))
        self.assertEqual(queue.add(LOAD_S), (LOAD_S, 2 * LOAD_S))

    def test_a_load_waits_for_the_first_of_those_under_way(self):
        queue = StoreQueue(2, [5.0, 1.5])
        self.assertEqual(queue.add(LOAD_S), (1.5, 1.5 + LOAD_S))

    def test_an_oversubscribing_load_starts_at_once_if_it_ends_sooner(self):
        queue = StoreQueue(4, [6.0, 6.0, 6.0, 6.0])
        self.assertEqual(
            queue.add(LOAD_S, Oversubscription.MAY_OVERSUBSCRIBE), (0.0, 7.5)
        )

    def test_an_oversubscribing_load_waits_where_it_would_not_end_sooner(self):
        """Symptom: a model with many waiting calls takes five times its load time.

        The store served one load at a time. Four were under way, and the fifth
        started at once because many calls waited for it. A load takes longer in
        proportion to the loads under way at its start.
        """
        queue = StoreQueue(1, [13.0])
        self.assertEqual(
            queue.add(13.0, Oversubscription.MAY_OVERSUBSCRIBE), (13.0, 26.0)
        )

    def test_queued_loads_do_not_slow_an_oversubscribing_load(self):
        queue = StoreQueue(4, [6.0, 6.0, 6.0, 6.0])
        queue.add(LOAD_S)
        self.assertEqual(
            queue.add(LOAD_S, Oversubscription.MAY_OVERSUBSCRIBE), (0.0, 7.5)
        )

    def test_an_oversubscribing_load_waits_where_it_would_be_slowed_much(self):
        queue = StoreQueue(4, [20.0] * 6)
        starts_in_s, _ = queue.add(LOAD_S, Oversubscription.MAY_OVERSUBSCRIBE)
        self.assertEqual(starts_in_s, 20.0)

    def test_queued_loads_start_one_after_the_other(self):
        queue = StoreQueue(1, [5.0])
        self.assertEqual(queue.add(13.0), (5.0, 18.0))
        self.assertEqual(queue.add(13.0), (18.0, 31.0))


class TestStartReason(unittest.TestCase):
    def test_each_reason_is_reported(self):
        full = StoreQueue(4, [6.0] * 4)
        allow_probe = StoreQueue(1, [6.0], allow_probe=True)
        self.assertIs(StoreQueue(1, []).start_reason(LOAD_S), StartReason.FREE)
        self.assertIs(StoreQueue(1, [6.0]).start_reason(LOAD_S), StartReason.QUEUED)
        self.assertIs(
            full.start_reason(LOAD_S, Oversubscription.MAY_OVERSUBSCRIBE),
            StartReason.OVERSUBSCRIBED,
        )
        self.assertIs(allow_probe.start_reason(LOAD_S), StartReason.QUEUED)
        self.assertIs(
            allow_probe.start_reason(LOAD_S, Oversubscription.MAY_PROBE),
            StartReason.PROBE,
        )


class TestProbe(unittest.TestCase):
    """Symptom: the model in highest demand waits for twice its load time.

    A probe in the same plan reached the store first and slowed its load down. The
    probed model had been chosen 13 s before, when few callers had come, and was in
    little demand.
    """

    def test_a_probe_starts_only_beside_loads_under_way(self):
        queue = StoreQueue(1, [], allow_probe=True)
        queue.add(13.0)
        self.assertIs(
            queue.start_reason(13.0, Oversubscription.MAY_PROBE), StartReason.QUEUED
        )
        queue = StoreQueue(1, [13.0], allow_probe=True)
        self.assertIs(
            queue.start_reason(13.0, Oversubscription.MAY_PROBE), StartReason.PROBE
        )

    def test_a_load_that_must_queue_is_no_probe(self):
        queue = StoreQueue(1, [13.0], allow_probe=True)
        self.assertIs(
            queue.start_reason(13.0, Oversubscription.MUST_QUEUE), StartReason.QUEUED
        )

    def test_a_probe_delays_the_queue_by_a_twentieth_of_a_load_at_most(self):
        """Started after a tenth of the load under way, a probe delayed each later load
        by 1.3 s."""
        for left in range(1, 133):
            queue = StoreQueue(1, [left / 10], allow_probe=True)
            _, queued_ends = queue.preview(13.2)
            _, ends = queue.preview(13.2, Oversubscription.MAY_PROBE)
            with self.subTest(left_s=left / 10):
                self.assertLessEqual(ends, queued_ends + 13.2 / 20)

    def test_no_probe_starts_long_after_the_load_under_way(self):
        """Started 6 s later, a probe raised the time of both from 30 s to 37 s."""
        queue = StoreQueue(1, [9.0], allow_probe=True)
        self.assertIs(
            queue.start_reason(15.0, Oversubscription.MAY_PROBE), StartReason.QUEUED
        )
