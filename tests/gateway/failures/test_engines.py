"""An entry's view of several services of engines."""

import unittest

from bambootiller.gateway import wire
from bambootiller.gateway.engines import Engines
from bambootiller.rpc import bambootiller_pb2 as pb
from bambootiller_core.gateway.fleet import Fleet
from bambootiller_core.gateway.want import Want
from tests.gateway.common.samples import engine_state, registered


class App:
    instance = "entry-1"

    def now(self):
        return 10.0


class Known:
    """Knowledge without a store: two services, an engine each."""

    class changed:
        @staticmethod
        def notify():
            pass

    def __init__(self):
        self.config = None
        self.fleet = Fleet()
        self.fleet.registry_changed(0.0, registered("b1", "tutor"))
        self.fleet.registry_changed(0.0, registered("b2", "judge"))


def told(instance, wants):
    update = pb.ResidencyUpdate(sender=f"agent-of-{instance}")
    update.engine.CopyFrom(wire.engine_message(engine_state(instance)))
    update.total_demand.extend(wire.demand_messages(wants))
    return update


class TestTwoServicesOfEngines(unittest.TestCase):
    def test_the_demand_for_one_service_does_not_replace_that_for_the_other(self):
        """Symptom: with two services of engines, loads for the one stop and start.

        Agents of both tell the total demand, each for its own service. An entry kept
        one table for all: each agent's word wiped out what the other service's agents
        had said, so plans were made on whichever spoke last.
        """
        engines = Engines(App(), Known(), None, None, 7)
        engines.received(told("b1", {"poet": Want(rate=3.0, waiting=2)}))
        engines.received(told("b2", {"critic": Want(rate=1.0)}))
        self.assertEqual(engines.wants_of_all("tutor", {})["poet"].waiting, 2)
        self.assertNotIn("critic", engines.wants_of_all("tutor", {}))
        self.assertEqual(engines.wants_of_all("judge", {})["critic"].rate, 1.0)

    def test_an_entrys_own_demand_counts_where_it_is_more(self):
        engines = Engines(App(), Known(), None, None, 7)
        engines.received(told("b1", {"poet": Want(rate=3.0, waiting=2)}))
        merged = engines.wants_of_all("tutor", {"poet": Want(rate=1.0, waiting=5)})
        self.assertEqual((merged["poet"].rate, merged["poet"].waiting), (3.0, 5))
