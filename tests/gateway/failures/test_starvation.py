"""Models that are called again and again and never loaded."""

import unittest
from unittest import mock

from bambootiller.gateway.placement import UNPLANNED_RETRY_S, Placement
from bambootiller_core.gateway.adapter_prefetch import AdapterPrefetch
from bambootiller_core.gateway.attempts import Refusal
from bambootiller_core.gateway.calls import ModelRequest, Progress
from bambootiller_core.gateway.crash_ledger import AdmissionDecision
from bambootiller_core.gateway.demand_tracker import DemandTracker
from bambootiller_core.gateway.engine_state import Loading
from bambootiller_core.gateway.load_targets import choose_victims, keep_values
from bambootiller_core.gateway.model_demand import Demand
from bambootiller_core.gateway.residency import PlannedLoad, Planner
from tests.gateway.common import samples
from tests.gateway.common.refusal_replay import RefusalReplay

#: The longest time from the end of one load from the store to the start of the next:
#: the calls on a model that is evicted for it end first. Seconds.
MAX_STORE_IDLE_S = 2.0


class TestStoreForModelsWithAdapters(unittest.TestCase):
    """Symptom: the weight store is idle while callers wait for it.

    No engine loaded from it because each of them was the last one to hold some model
    with adapters.
    """

    def replay(self, seed, seconds=60.0):
        rates = {f"m{number}": 0.5 for number in range(36)}
        copied = list(rates)[:24]
        replay = RefusalReplay(seed, 8, rates, copied, adapters=2)
        replay.run(seconds)
        return replay

    def test_the_store_is_not_idle_while_somebody_waits_for_it(self):
        for seed in range(5):
            with self.subTest(seed=seed):
                self.assertLessEqual(
                    self.replay(seed).longest_store_idle_s(), MAX_STORE_IDLE_S
                )

    def test_no_model_or_adapter_starves(self):
        for seed in range(5):
            with self.subTest(seed=seed):
                self.assertEqual(self.replay(seed).starved(), [])


class TestOrderOfStoreLoads(unittest.TestCase):
    """Symptom: a model is never loaded from the store, and all its callers are refused.

    Each busier model that lost its copies later was loaded before it.
    """

    def test_models_that_lose_copies_later_do_not_starve_it(self):
        later = [f"m{number}" for number in range(16)]
        rates = {"early": 0.4, **dict.fromkeys(later, 1.2)}
        losses = [(2.4 * number, model) for number, model in enumerate(later)]
        losses += [(0.0, model) for model in later[1:4]]
        for seed in range(5):
            with self.subTest(seed=seed):
                replay = RefusalReplay(seed, 6, rates, copied=later)
                replay.run(40.0, losses)
                self.assertEqual(replay.starved(), [])


class TestEnginesFullOfBusyModels(unittest.TestCase):
    """Symptom: a rarely used model is never loaded.

    All models that the engines hold have running calls at every moment.
    """

    def test_it_has_a_turn(self):
        busy = [f"m{number}" for number in range(6)]
        for rate in (2.0, 6.0, 12.0):
            rates = {**dict.fromkeys(busy, rate), "rare": 0.3}
            for seed in range(3):
                with self.subTest(rate=rate, seed=seed):
                    replay = RefusalReplay(seed, 2, rates, [*busy, "rare"])
                    replay.run(60.0)
                    self.assertEqual(replay.starved(), [])


class TestModelsWhoseCallersAreAllRefused(unittest.TestCase):
    """Symptom: a model is never loaded from the store, and all its callers are refused.

    Each time the store loaded another model, for a caller who could wait.
    """

    def test_the_model_refused_most_is_loaded_first(self):
        names = ("refused", "waited")
        spec = samples.engine(*[samples.model(name, load_s=13.0) for name in names])
        demands = {
            "refused": Demand(0.6, 0, unserved=9.0, unserved_s=10.0),
            "waited": Demand(0.3, 4, 0, 1.5, unserved=4.0, unserved_s=2.0),
        }
        plan = Planner(spec, 1).plan(1.0, [samples.engine_backend(1.0, "b1")], demands)
        self.assertEqual(next(iter(plan)), "refused")


class TestAdaptersOfNewlyLoadedModel(unittest.TestCase):
    """Symptom: the only engine with a newly loaded model starts a load of 13 s, during
    which it can't load adapters.

    No call had missed an adapter of the model yet, so the planner didn't avoid it.
    """

    def test_a_long_load_is_planned_at_another_engine(self):
        plain_models = [f"p{number}" for number in range(4)]
        models = [samples.model("tutor", adapters=10, load_s=13.0)]
        rare_models = [f"r{number}" for number in range(20)]
        models += [
            samples.model(name, load_s=13.0) for name in (*plain_models, *rare_models)
        ]
        spec = samples.engine(*models, memory_mb=120.0)
        backends = [samples.engine_backend(1.0, "b0", ["tutor"])]
        backends += [
            samples.engine_backend(1.0, f"b-{name}", [name]) for name in plain_models
        ]
        for name in rare_models:
            demands = {"tutor": Demand(2.0, holders=1, copies=1), name: Demand(0.2, 1)}
            load = Planner(spec, 1).plan(1.0, backends, demands)[name]
            self.assertNotEqual(load.instance, "b0")


class TestCallersOfAdaptersRefusedDuringALoad(unittest.IsolatedAsyncioTestCase):
    """Symptom: callers are refused again, as their adapter isn't loaded.

    When the load had ended nobody requested the adapter, and the engine's next load
    began before the callers were back.
    """

    async def test_the_adapter_is_loaded_when_it_ends(self):
        loading = Loading("poet", 60.0, True)
        holder = samples.engine_backend(5.0, "b1", ["tutor"], loading=loading)
        prefetch = AdapterPrefetch()
        context = mock.Mock()
        context.clock.return_value = 5.0
        context.gateway_state.fleet.of_service.return_value = [holder]
        context.gateway_state.fleet.is_expired.return_value = False
        context.engines.plans.adapter_prefetch.return_value = prefetch
        call = samples.call(
            now=5.0, model_request=samples.model_request("tutor", "x1"), service="llm"
        )
        refusal = await Placement(context, call, Progress()).place()
        self.assertIsInstance(refusal, Refusal)
        free = samples.engine_backend(6.0, "b1", ["tutor"])
        (load_request,) = prefetch.load_requests(6.0, free, [free])
        self.assertEqual((load_request.model, load_request.adapter), ("tutor", "x1"))


class TestRetryDelayOfRefusedCallers(unittest.IsolatedAsyncioTestCase):
    """Symptom: refused callers come back too early and are refused again.

    They were told to come back after 6 s where the plan's time was 26 s.
    """

    async def delay_of_refusal(self, planned):
        context = mock.Mock()
        context.clock.return_value = 5.0
        context.gateway_state.fleet.of_service.return_value = []
        context.quarantine.load_admission.return_value.decision = (
            AdmissionDecision.ADMITTED
        )
        context.is_starting.return_value = False
        context.stop_deadline = None
        context.engines.plans.plan_for.return_value = planned
        call = samples.call(
            now=5.0, model_request=samples.model_request("tutor"), service="llm"
        )
        placement = Placement(context, call, Progress())
        with mock.patch.object(Placement, "_plan_snapshot", return_value=None):
            return (await placement.place()).come_back_s

    async def test_the_delay_is_the_planned_time_until_the_model_is_ready(self):
        planned = PlannedLoad("tutor", "", 26.0, False, True)
        self.assertEqual(await self.delay_of_refusal(planned), 26.0)

    async def test_without_a_plan_the_delay_is_short(self):
        self.assertEqual(await self.delay_of_refusal(None), UNPLANNED_RETRY_S)


class TestAdaptersOfReturningCallers(unittest.TestCase):
    """Symptom: callers come back to a loaded model and are refused for lack of their
    adapter.

    By then the model's engine was busy with another long load.
    """

    def setUp(self):
        self.prefetch = AdapterPrefetch()
        self.prefetch.refused(1.0, ModelRequest("tutor", "physics"), come_back_s=6.0)

    def requested(self, now, *states):
        backends = [samples.backend(state.instance, now, state) for state in states]
        load_requests = self.prefetch.load_requests(now, backends[-1], backends)
        return [
            (load_request.model, load_request.adapter) for load_request in load_requests
        ]

    def test_they_are_loaded_once_their_model_is_there(self):
        self.assertEqual(self.requested(2.0, samples.engine_state("b1")), [])
        held = samples.engine_state("b1", ["tutor"])
        self.assertEqual(self.requested(3.0, held), [("tutor", "physics")])

    def test_none_are_loaded_during_another_load(self):
        loading = Loading("poet", 9.0, True)
        held = samples.engine_state("b1", ["tutor"], loading=loading, busy=True)
        self.assertEqual(self.requested(3.0, held), [])

    def test_one_that_an_engine_has_is_not_loaded_again(self):
        with_adapter = samples.engine_state(
            "b1", adapters={"tutor": frozenset({"physics"})}
        )
        other = samples.engine_state("b2", ["tutor"])
        self.assertEqual(self.requested(3.0, with_adapter, other), [])

    def test_nothing_is_loaded_for_callers_that_did_not_come_back(self):
        held = samples.engine_state("b1", ["tutor"])
        self.assertEqual(self.requested(8.0, held), [])


class TestCallersDueBack(unittest.TestCase):
    """Symptom: refused callers return after the model loaded for them was unloaded."""

    def test_it_stays_until_they_are_back(self):
        spec = samples.engine(samples.model("tutor"), samples.model("poet"))
        for come_back_s in (1.0, 3.5, 6.0):
            demand = DemandTracker()
            demand.record_call(0.0, "tutor")
            demand.refused(0.0, "tutor", come_back_s)
            for now in (0.5 * come_back_s, come_back_s):
                demands = demand.demands(now, {"tutor": 1}, {"tutor": 1})
                values = keep_values(["tutor"], demands)
                held = {"tutor": frozenset()}
                victims = choose_victims(spec, held, 40.0, {}, values, Demand(0.2, 1))
                with self.subTest(come_back_s=come_back_s, now=now):
                    self.assertIsNone(victims)
