"""Random growth, release and eviction of what callers hold."""

import unittest

from hypothesis import given, strategies as st

from bambootiller_core.gateway.caller_memory import (
    SMALL_HOLD_BYTES,
    CallerMemory,
    Kind,
)

CAPACITY = 8 * SMALL_HOLD_BYTES
HOLDS = 6
STEP = st.tuples(
    st.integers(0, HOLDS - 1),
    st.sampled_from(("grow", "shrink", "release", "complete", "idle", "begin")),
    st.sampled_from((Kind.HEAD, Kind.BODY, Kind.ANSWER)),
    st.integers(0, 3 * SMALL_HOLD_BYTES),
    st.floats(0.0, 3.0),
)


class TestAccount(unittest.TestCase):
    @given(st.lists(STEP, max_size=60))
    def test_the_sum_is_kept_within_the_capacity(self, steps):
        now = 0.0
        memory = CallerMemory(CAPACITY, lambda: now)
        holds = {}
        for number, action, kind, size, pause_s in steps:
            now += pause_s
            if number not in holds:
                holds[number] = (memory.hold(lambda n=number: self.end(holds, n)), {})
            hold, sizes = holds[number]
            if action == "grow":
                if hold.grow(kind, size):
                    sizes[kind] = sizes.get(kind, 0) + size
            elif action == "shrink":
                hold.shrink(kind, sizes.pop(kind, 0))
            elif action == "release":
                self.end(holds, number)
            elif action == "begin":
                hold.begin()
            else:
                hold.is_evictable = action == "idle"
            sizes_held = [hold.size for hold, _ in holds.values()]
            held = sum(sizes_held)
            self.assertEqual(memory.total, held)
            # A single body may exceed the capacity.
            self.assertLessEqual(held - max(sizes_held, default=0), CAPACITY)
            self.assertEqual(sum(memory.held.values()), held)
            self.assertGreaterEqual(min(memory.held.values(), default=0), 0)

    def end(self, holds, number):
        hold, _ = holds.pop(number)
        hold.release()
