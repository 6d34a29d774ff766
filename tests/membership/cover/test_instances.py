"""What is concluded from the answers of the instance list."""

import unittest

from bambootiller.instances import Believed, Doubted, ListedInstance, ListHistory
from bambootiller_core.types import Role


def listed(*names: str, state: str = "live") -> list[ListedInstance]:
    return [
        ListedInstance(name, Role.AGENT, "az-1", "r1", f"127.0.0.1:{name}", state)
        for name in names
    ]


class TestListHistory(unittest.TestCase):
    def test_an_instance_is_gone_when_a_later_answer_lacks_it(self):
        history = ListHistory()
        history.answered(listed("a", "b", "c"))
        self.assertFalse(history.is_gone("a"))
        self.assertEqual(history.answered(listed("b", "c")), Believed(("a",)))
        self.assertTrue(history.is_gone("a"))
        self.assertNotIn("a", history.listed())
        self.assertEqual(history.take_gone(), ("a",))
        self.assertEqual(history.take_gone(), ())

    def test_an_instance_that_was_never_listed_is_not_gone(self):
        history = ListHistory()
        history.answered(listed("a"))
        self.assertFalse(history.is_gone("z"))

    def test_an_instance_that_is_listed_again_is_not_gone(self):
        history = ListHistory()
        for names in ("abc", "bc", "abc"):
            history.answered(listed(*names))
        self.assertFalse(history.is_gone("a"))

    def test_a_failed_poll_keeps_the_list_and_proves_nothing(self):
        history = ListHistory()
        history.answered(listed("a", "b"))
        history.failed()
        self.assertFalse(history.available)
        self.assertEqual(set(history.listed()), {"a", "b"})
        self.assertFalse(history.is_gone("a"))

    def test_an_answer_that_drops_most_counts_when_a_second_one_confirms_it(self):
        history = ListHistory()
        history.answered(listed("a", "b", "c", "d"))
        self.assertEqual(history.answered(listed("a")), Doubted(3))
        self.assertFalse(history.is_gone("b"))
        self.assertIn("b", history.listed())
        self.assertEqual(history.answered(listed("a")), Believed(("b", "c", "d")))
        self.assertTrue(history.is_gone("b"))

    def test_a_doubt_is_dropped_when_the_instances_are_back(self):
        history = ListHistory()
        for names in ("abcd", "", "abcd", ""):
            history.answered(listed(*names))
        self.assertFalse(any(history.is_gone(name) for name in "abcd"))

    def test_a_doubted_answer_still_brings_new_instances(self):
        history = ListHistory()
        history.answered(listed("a", "b", "c"))
        history.answered(listed("z"))
        self.assertEqual(set(history.listed()), {"a", "b", "c", "z"})

    def test_the_state_of_the_latest_answer_counts(self):
        history = ListHistory()
        history.answered(listed("a", "b"))
        history.answered(listed("a", state="leaving") + listed("b"))
        self.assertTrue(history.listed()["a"].leaving)
