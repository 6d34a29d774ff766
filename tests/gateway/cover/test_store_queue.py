"""When the weight store will have served the loads of a plan."""

import unittest

from bambootiller_core.gateway.store_queue import (
    Oversubscription,
    StartReason,
    StoreQueue,
)

LOAD_S = 6.0


class TestStoreQueue(unittest.TestCase):
    def test_loads_begin_at_once_up_to_what_the_store_serves(self):
        queue = StoreQueue(2, [])
        self.assertEqual(queue.add(LOAD_S), (0.0, LOAD_S))
        self.assertEqual(queue.add(LOAD_S), (0.0, LOAD_S))
        self.assertEqual(queue.add(LOAD_S), (LOAD_S, 2 * LOAD_S))

    def test_a_load_waits_for_the_first_of_those_under_way(self):
        queue = StoreQueue(2, [5.0, 1.5])
        self.assertEqual(queue.add(LOAD_S), (1.5, 1.5 + LOAD_S))

    def test_a_crowding_load_begins_beyond_that_if_it_is_sooner(self):
        queue = StoreQueue(4, [6.0, 6.0, 6.0, 6.0])
        self.assertEqual(
            queue.add(LOAD_S, Oversubscription.MAY_OVERSUBSCRIBE), (0.0, 7.5)
        )

    def test_a_crowding_load_waits_where_beginning_now_brings_nothing(self):
        """Symptom: a much-awaited model takes five times its load time.

        The store served one load at a time. Four were under way, and the fifth began
        at once because many calls waited for it; each takes longer in proportion to
        those under way as it begins.
        """
        queue = StoreQueue(1, [13.0])
        self.assertEqual(
            queue.add(13.0, Oversubscription.MAY_OVERSUBSCRIBE), (13.0, 26.0)
        )

    def test_loads_that_wait_slow_no_crowding_load(self):
        queue = StoreQueue(4, [6.0, 6.0, 6.0, 6.0])
        queue.add(LOAD_S)
        self.assertEqual(
            queue.add(LOAD_S, Oversubscription.MAY_OVERSUBSCRIBE), (0.0, 7.5)
        )

    def test_a_crowding_load_waits_where_it_would_be_slowed_much(self):
        queue = StoreQueue(4, [20.0] * 6)
        begins, _ = queue.add(LOAD_S, Oversubscription.MAY_OVERSUBSCRIBE)
        self.assertEqual(begins, 20.0)

    def test_waiting_loads_take_their_turns(self):
        queue = StoreQueue(1, [5.0])
        self.assertEqual(queue.add(13.0), (5.0, 18.0))
        self.assertEqual(queue.add(13.0), (18.0, 31.0))


class TestStartReason(unittest.TestCase):
    def test_it_is_told(self):
        crowded = StoreQueue(4, [6.0] * 4)
        allow_probe = StoreQueue(1, [6.0], allow_probe=True)
        self.assertIs(StoreQueue(1, []).start_reason(LOAD_S), StartReason.FREE)
        self.assertIs(StoreQueue(1, [6.0]).start_reason(LOAD_S), StartReason.QUEUED)
        self.assertIs(
            crowded.start_reason(LOAD_S, Oversubscription.MAY_OVERSUBSCRIBE),
            StartReason.OVERSUBSCRIBED,
        )
        self.assertIs(allow_probe.start_reason(LOAD_S), StartReason.QUEUED)
        self.assertIs(
            allow_probe.start_reason(LOAD_S, Oversubscription.MAY_PROBE),
            StartReason.PROBE,
        )


class TestProbe(unittest.TestCase):
    """Symptom: the most wanted model waited for twice a load's time.

    One more was tried in the same plan, arrived first, and slowed it. What was tried
    was chosen 13 s before its turn, when few callers had come, and was hardly asked
    for.
    """

    def test_it_is_tried_beside_loads_that_have_begun(self):
        queue = StoreQueue(1, [], allow_probe=True)
        queue.add(13.0)
        self.assertIs(
            queue.start_reason(13.0, Oversubscription.MAY_PROBE), StartReason.QUEUED
        )
        queue = StoreQueue(1, [13.0], allow_probe=True)
        self.assertIs(
            queue.start_reason(13.0, Oversubscription.MAY_PROBE), StartReason.PROBE
        )

    def test_it_is_tried_for_what_would_have_the_next_turn(self):
        queue = StoreQueue(1, [13.0], allow_probe=True)
        self.assertIs(
            queue.start_reason(13.0, Oversubscription.MUST_QUEUE), StartReason.QUEUED
        )

    def test_it_is_tried_beside_one_that_has_just_begun(self):
        """Begun 6 s later, it took the store's time of both to 37 s instead of 30."""
        queue = StoreQueue(1, [9.0], allow_probe=True)
        self.assertIs(
            queue.start_reason(15.0, Oversubscription.MAY_PROBE), StartReason.QUEUED
        )
