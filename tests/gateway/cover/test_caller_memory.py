"""Which callers keep their place when the memory for callers is full."""

import unittest

from bambootiller_core.gateway.caller_memory import (
    SMALL_HOLD_BYTES,
    STILL_AFTER_S,
    CallerMemory,
    Kind,
)

CAPACITY = 16 * SMALL_HOLD_BYTES
LARGE = 4 * SMALL_HOLD_BYTES


class CallerMemoryTestCase(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.memory = CallerMemory(CAPACITY, lambda: self.now)
        self.evicted = []

    def hold(self, name, size=0, kind=Kind.BODY):
        def evict():
            self.evicted.append(name)
            hold.release()

        hold = self.memory.hold(evict)
        if size:
            self.assertTrue(hold.grow(kind, size))
        return hold


class TestRoom(CallerMemoryTestCase):
    def test_a_single_body_of_any_size_has_room(self):
        self.hold("a", 3 * CAPACITY)

    def test_large_holds_leave_room_for_small_ones(self):
        for name in "abc":
            self.hold(name, LARGE).is_evictable = False
        self.assertFalse(self.hold("d").grow(Kind.BODY, LARGE))
        for name in "efgh":
            self.hold(name, SMALL_HOLD_BYTES).is_evictable = False
        self.assertFalse(self.hold("i").grow(Kind.HEAD, 1))

    def test_a_refused_hold_is_unchanged(self):
        self.hold("a", CAPACITY).is_evictable = False
        hold = self.hold("b", 10)
        self.assertFalse(hold.grow(Kind.BODY, CAPACITY))
        self.assertEqual((hold.size, self.memory.total), (10, CAPACITY + 10))

    def test_what_is_released_is_free_again(self):
        hold = self.hold("a", LARGE)
        hold.grow(Kind.HEAD, 10)
        hold.shrink(Kind.BODY, 100)
        hold.release()
        hold.release()
        self.assertEqual(self.memory.total, 0)
        self.assertEqual(set(self.memory.held.values()), {0})
        self.assertFalse(hold.grow(Kind.BODY, 1))


class TestEviction(CallerMemoryTestCase):
    def test_a_body_that_stands_still_goes_before_one_that_moves(self):
        self.hold("still", LARGE)
        self.now += STILL_AFTER_S + 0.1
        self.hold("moves", LARGE)
        self.hold("moves too", LARGE)
        self.hold("new", LARGE)
        self.assertEqual(self.evicted, ["still"])

    def test_of_those_that_stand_still_the_largest_goes_first(self):
        self.hold("small", SMALL_HOLD_BYTES * 2)
        self.hold("large", LARGE * 2)
        self.now += STILL_AFTER_S + 0.1
        self.hold("new", LARGE)
        self.assertEqual(self.evicted, ["large"])

    def test_one_that_arrives_slowly_goes_before_a_faster_one(self):
        slow = self.hold("slow", LARGE)
        self.now += 20.0
        slow.grow(Kind.BODY, 1)
        for name in "abc":
            self.hold(name, LARGE - 1)
        self.assertEqual(self.evicted, ["slow"])

    def test_a_slower_one_is_refused_in_favour_of_faster_ones(self):
        slow = self.hold("slow", 1)
        self.now += 20.0
        for name in "abc":
            self.hold(name, LARGE)
        self.assertFalse(slow.grow(Kind.BODY, SMALL_HOLD_BYTES * 2))
        self.assertEqual(self.evicted, [])

    def test_what_may_have_been_sent_stays(self):
        for name in "abc":
            self.hold(name, LARGE).is_evictable = False
        self.now += 60.0
        self.assertFalse(self.hold("new").grow(Kind.BODY, LARGE))
        self.assertEqual(self.evicted, [])

    def test_small_holds_do_not_go_for_a_large_one(self):
        for name in "abc":
            self.hold(name, LARGE).is_evictable = False
        self.hold("idle", 10, Kind.CONNECTION)
        self.now += 60.0
        self.assertFalse(self.hold("new").grow(Kind.BODY, LARGE))
        self.assertEqual(self.evicted, [])

    def test_answers_go_last(self):
        answer = self.hold("answer", LARGE * 2, Kind.ANSWER)
        answer.is_answer = True
        self.hold("body", SMALL_HOLD_BYTES * 2)
        self.now += STILL_AFTER_S + 0.1
        self.hold("new", LARGE)
        self.assertEqual(self.evicted, ["body"])
