"""The weight store's concurrency, estimated from the durations of loads."""

import unittest

from bambootiller_core.gateway.engine_state import Loading
from bambootiller_core.gateway.incarnation import Incarnation
from bambootiller_core.gateway.model_demand import Demand
from bambootiller_core.gateway.residency import Planner
from bambootiller_core.gateway.store_concurrency import (
    ASSUMED_LOADS,
    OVERRUN_FRACTION,
    PROBE_RETRY_S,
    StoreConcurrency,
    initial_loads,
)
from tests.gateway.common import samples

STEP_S = 0.05
LOAD_S = 6.0


class SharedBandwidthStore:
    """A store whose loads share its bandwidth, enough for ``full_speed_loads``."""

    def __init__(self, full_speed_loads):
        self.full_speed_loads = full_speed_loads
        self.now = 0.0
        self.concurrency = StoreConcurrency()
        self.left = {}
        self.spec = samples.engine(samples.model("tutor"))

    def run(self, seconds, concurrent, stalled=()):
        for _ in range(round(seconds / STEP_S)):
            self.step(concurrent, stalled)

    def step(self, concurrent, stalled):
        for number in range(concurrent):
            self.left.setdefault(f"b{number}", LOAD_S)
        progress = min(1.0, self.full_speed_loads / len(self.left)) * STEP_S
        self.now += STEP_S
        for name in list(self.left):
            self.left[name] -= 0.0 if name in stalled else progress
            if self.left[name] <= 0:
                del self.left[name]
        backends = []
        for number in range(concurrent):
            name = f"b{number}"
            loading = Loading("tutor", 1.0, True) if name in self.left else None
            state = samples.engine_state(name, loading=loading)
            backends.append(samples.backend(name, self.now, state, service="llm"))
        self.concurrency.observe(self.now, backends, self.spec)


class FixedDurationStore:
    """A store that fixes a load's duration as it starts.

    The duration grows with the number of loads that are under way at that moment.
    """

    def __init__(self, full_speed_loads, loads, load_s=LOAD_S):
        self.full_speed_loads = full_speed_loads
        self.load_s = load_s
        self.now = 0.0
        self.concurrency = StoreConcurrency(loads)
        self.ends = {}
        self.names = []
        self.silent = {}
        self.spec = samples.engine(samples.model("tutor", load_s=load_s))

    def start_load(self, name):
        self.names.append(name)
        slowdown = max(1.0, (len(self.ends) + 1) / self.full_speed_loads)
        self.ends[name] = self.now + slowdown * self.load_s

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self.ends = {n: end for n, end in self.ends.items() if end > self.now}
            self.concurrency.observe(self.now, self.backends(), self.spec)

    def backends(self):
        """All engines that ever loaded; agents in ``silent`` stopped reporting."""
        found = []
        for name in self.names:
            loading = Loading("tutor", 1.0, True) if name in self.ends else None
            state = samples.engine_state(name, loading=loading)
            last_received_at = self.silent.get(name, self.now)
            found.append(samples.backend(name, last_received_at, state, service="llm"))
        return found


class TestLoadsSlowedByEarlierLoads(unittest.TestCase):
    def test_the_first_of_four_to_end_proves_nothing_about_the_others(self):
        """Symptom: a store with a concurrency of one is estimated at four for ever.

        Four loads start together. The first ends in its configured time while the
        others are under way, which counted as proof that four run at full speed.
        """
        store = FixedDurationStore(full_speed_loads=1, loads=4)
        for number in range(4):
            store.start_load(f"b{number}")
        store.run(1.4 * LOAD_S)
        self.assertEqual(store.concurrency.loads, 1)
        self.assertFalse(store.concurrency.allows_probe)

    def test_four_loads_at_full_speed_raise_the_estimate_to_four(self):
        store = FixedDurationStore(full_speed_loads=4, loads=1)
        for number in range(4):
            store.start_load(f"b{number}")
        store.run(1.1 * LOAD_S)
        self.assertEqual(store.concurrency.loads, 4)

    def test_a_probe_is_allowed_until_one_has_shown_the_limit(self):
        store = FixedDurationStore(full_speed_loads=1, loads=1)
        self.assertTrue(store.concurrency.allows_probe)
        store.start_load("b0")
        store.start_load("b1")
        store.run(1.3 * LOAD_S)
        self.assertEqual(
            (store.concurrency.loads, store.concurrency.allows_probe), (1, False)
        )

    def test_no_probe_is_allowed_while_a_load_is_late(self):
        """Symptom: the store's concurrency is one, and three loads are under way.

        Two start together as a probe. One ends in time; the other is late by then,
        and yet a third was started beside it.
        """
        store = FixedDurationStore(full_speed_loads=1, loads=1)
        store.start_load("b0")
        store.start_load("b1")
        store.run(1.02 * LOAD_S)
        self.assertEqual(len(store.ends), 1)
        self.assertFalse(store.concurrency.allows_probe)

    def test_a_probe_lost_with_its_engine_is_not_repeated_at_once(self):
        """Symptom: the store always runs one load more than its concurrency.

        The probe's engine was removed before the probe had a result, so the next
        probe started at once.
        """
        store = FixedDurationStore(full_speed_loads=1, loads=1)
        store.start_load("b0")
        store.start_load("b1")
        store.run(0.8 * LOAD_S)
        store.names.remove("b1")
        del store.ends["b1"]
        store.run(0.3 * LOAD_S)
        self.assertFalse(store.concurrency.allows_probe)
        store.run(PROBE_RETRY_S)
        self.assertTrue(store.concurrency.allows_probe)

    def test_no_probe_starts_beside_a_load_that_may_still_be_under_way(self):
        """Symptom: after the crash of an engine in its load, the next load and a probe
        took two and three times their time."""
        store = FixedDurationStore(full_speed_loads=1, loads=1)
        store.start_load("b0")
        store.run(0.3 * LOAD_S)
        store.names.remove("b0")
        del store.ends["b0"]
        store.run(0.1 * LOAD_S)
        self.assertFalse(store.concurrency.allows_probe)
        store.run(0.7 * LOAD_S)
        self.assertTrue(store.concurrency.allows_probe)

    def test_no_further_probe_is_allowed_before_the_last_has_a_result(self):
        """The load beside the probe had ended and the probe wasn't late yet."""
        store = FixedDurationStore(full_speed_loads=1, loads=1)
        store.start_load("b0")
        store.run(0.1 * LOAD_S)
        store.start_load("b1")
        store.run(0.1 * LOAD_S)
        self.assertFalse(store.concurrency.allows_probe)
        store.run(0.82 * LOAD_S)
        self.assertEqual(list(store.ends), ["b1"])
        self.assertFalse(store.concurrency.allows_probe)

    def test_the_end_of_a_load_is_predicted(self):
        store = FixedDurationStore(full_speed_loads=1, loads=1)
        store.start_load("b0")
        store.run(1.0)
        store.start_load("b1")
        store.run(1.0)
        left_s = store.concurrency.left_s(
            store.now, Incarnation("b1"), Loading("tutor", 5.0, True)
        )
        self.assertAlmostEqual(left_s, store.ends["b1"] - store.now, delta=0.2)

    def test_a_service_with_long_loads_begins_with_a_concurrency_of_one(self):
        short = samples.engine(samples.model("tutor", load_s=6.0))
        long = samples.engine(samples.model("tutor", load_s=13.2))
        self.assertEqual(initial_loads(short), ASSUMED_LOADS)
        self.assertEqual(initial_loads(long), 1)


class TestLoadsOfSilentAgents(unittest.TestCase):
    """Symptom: of 21 models without a copy none is served in half a minute, though the
    weight store could have loaded two.

    The agent of a loading engine sent no reports for two seconds. Its load counted as
    ended, and as fast enough for a concurrency of two. A further load was started
    beside it, took twice its time and blocked all others.
    """

    def setUp(self):
        self.store = FixedDurationStore(full_speed_loads=1, loads=1)
        self.store.start_load("b0")
        self.store.start_load("b1")

    def silence_agent(self, name, from_s, to_s):
        """Runs the store until ``to_s``; from ``from_s`` on the agent is silent."""
        self.store.run(from_s - self.store.now)
        self.store.silent[name] = self.store.now - 60
        self.store.run(to_s - self.store.now)

    def test_a_load_that_is_not_reported_is_no_load_at_full_speed(self):
        self.silence_agent("b1", 0.9 * LOAD_S, 1.2 * LOAD_S)
        self.assertEqual(self.store.concurrency.loads, 1)
        self.assertFalse(self.store.concurrency.allows_probe)

    def test_a_load_that_is_reported_again_does_not_count_as_new(self):
        self.silence_agent("b1", 1.3 * LOAD_S, 1.5 * LOAD_S)
        del self.store.silent["b1"]
        self.store.run(0.1)
        left_s = self.store.concurrency.left_s(
            self.store.now, Incarnation("b1"), Loading("tutor", 1.0, True)
        )
        self.assertLess(left_s, self.store.ends["b1"] - self.store.now + 1.0)

    def test_a_load_that_is_not_reported_still_occupies_the_store(self):
        self.silence_agent("b1", 0.5 * LOAD_S, 1.2 * LOAD_S)
        (left_s,) = self.store.concurrency.other_load_ends(self.store.now, known=["b0"])
        self.assertAlmostEqual(left_s, self.store.ends["b1"] - self.store.now, delta=1)

    def test_a_load_that_is_not_reported_expires(self):
        self.silence_agent("b1", 0.5 * LOAD_S, 2.5 * LOAD_S)
        self.assertEqual(self.store.concurrency.other_load_ends(self.store.now, ()), [])

    def test_a_load_ends_with_its_engine(self):
        self.store.run(0.5 * LOAD_S)
        self.store.names.remove("b1")
        self.store.run(STEP_S)
        self.assertEqual(
            self.store.concurrency.other_load_ends(self.store.now, ["b0"]), []
        )

    def test_a_load_that_is_late_when_first_reported_did_not_just_start(self):
        late = StoreConcurrency(1)
        loading = Loading("tutor", OVERRUN_FRACTION * LOAD_S, True)
        state = samples.engine_state("b1", loading=loading)
        for now in (50.0, 50.1):
            backend = samples.backend("b1", now, state, service="llm")
            late.observe(now, [backend], self.store.spec)
        self.assertFalse(late.allows_probe)

    def test_a_plan_waits_for_a_load_that_is_not_reported(self):
        spec = samples.engine(samples.model("tutor"), samples.model("poet"))
        backend = samples.backend("b0", 5.0, samples.engine_state("b0"), service="llm")
        demands = {"poet": Demand(0.1, 1)}
        plan = Planner(spec, 1, None, [4.0]).plan(5.0, [backend], demands)
        self.assertFalse(plan["poet"].request_now)


class TestStoreConcurrency(unittest.TestCase):
    def test_at_full_speed_the_initial_estimate_stays(self):
        store = SharedBandwidthStore(full_speed_loads=4)
        store.run(30.0, concurrent=4)
        self.assertEqual(store.concurrency.loads, ASSUMED_LOADS)

    def test_a_concurrency_of_one_is_learnt(self):
        """Symptom: every cold start takes four times the model's load time.

        The store serves one load at full speed, and four were always under way.
        """
        store = SharedBandwidthStore(full_speed_loads=1)
        store.run(4.1 * LOAD_S, concurrent=4)
        self.assertEqual(store.concurrency.loads, 1)

    def test_a_low_concurrency_is_learnt_before_the_first_load_ends(self):
        store = SharedBandwidthStore(full_speed_loads=1)
        store.run(2.1 * LOAD_S, concurrent=4)
        self.assertLessEqual(store.concurrency.loads, 2)

    def test_a_higher_concurrency_is_learnt_when_more_loads_run(self):
        store = SharedBandwidthStore(full_speed_loads=8)
        store.run(2 * LOAD_S, concurrent=6)
        self.assertEqual(store.concurrency.loads, 6)

    def test_two_loads_beyond_the_concurrency_do_not_change_the_estimate(self):
        store = SharedBandwidthStore(full_speed_loads=4)
        store.run(20.0, concurrent=6)
        self.assertEqual(store.concurrency.loads, 4)

    def test_one_stalled_engine_does_not_change_the_estimate(self):
        store = SharedBandwidthStore(full_speed_loads=4)
        store.run(30.0, concurrent=3, stalled=("b0",))
        self.assertEqual(store.concurrency.loads, ASSUMED_LOADS)

    def test_a_plan_starts_no_more_loads_than_estimated(self):
        spec = samples.engine(*(samples.model(f"m{number}") for number in range(6)))
        states = [
            samples.backend(f"b{n}", 5.0, samples.engine_state(f"b{n}"), service="llm")
            for n in range(6)
        ]
        demands = {f"m{number}": Demand(0.1, 1) for number in range(6)}
        for max_loads in (1, 3):
            plan = Planner(spec, max_loads).plan(5.0, states, demands)
            self.assertEqual(sum(load.request_now for load in plan.values()), max_loads)
