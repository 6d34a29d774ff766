import unittest

from bambootiller import templates
from bambootiller_core.slots import SlotTable
from bambootiller_core.template import Template
from bambootiller_standins.capacity import _isolated, _state as state
from bambootiller_standins.capacity._registry import MEASUREMENTS, measurement
from bambootiller_standins.capacity._state import Size

SMALL = Size(members=40, models=12, adapters=50, customers=3, callers=2, replicas=30)


class StateTests(unittest.TestCase):
    def test_templates_deal_out_all_models_adapters_and_replicas(self):
        parsed = [templates.parse_stored(doc.value) for doc in state.templates(SMALL)]
        self.assertTrue(all(isinstance(one, Template) for one in parsed), parsed)
        models = [model for one in parsed for model in one.models.values()]
        self.assertEqual(len(models), SMALL.models)
        self.assertEqual(sum(len(model.adapters) for model in models), SMALL.adapters)
        self.assertEqual(sum(model.replicas for model in models), SMALL.replicas)

    def test_slot_tables_are_sound_and_held_by_agents_of_the_fleet(self):
        tables = [SlotTable.decode(doc.value) for doc in state.tables(SMALL)]
        self.assertTrue(all(isinstance(one, SlotTable) for one in tables), tables)
        held = [name for table in tables for name in table.holders()]
        told = state.statements(SMALL.members)
        agents = {one.instance for one in told if one.member.role.value == "agent"}
        self.assertEqual(len(held), SMALL.replicas)
        self.assertLessEqual(set(held), agents)

    def test_a_name_is_registered_once(self):
        self.assertIn("memory", MEASUREMENTS)
        with self.assertRaisesRegex(ValueError, "'memory' is taken"):
            measurement("memory")(_isolated.memory)
