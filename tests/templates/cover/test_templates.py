"""Templates at the border: what is read, and what each bad field is told."""

import datetime
import json
import unittest

from bambootiller.templates import Draft, parse_draft, parse_stored, read_text
from bambootiller_core.template import PriorityWindow, Template, WhenStoreDown

DIGEST = "ab" * 32

WHOLE = f"""
customer = "forge"
time_zone = "America/Toronto"
batch_share = 0.25

[parameters]
exam_replicas = 4
class_models = ["tutor"]

[weights]
cold_second = 3

[models.tutor]
replicas = "${{exam_replicas}}"
memory_bytes = "6GiB"
adapters = ["maths", "french"]

[services.desk]
non_idempotent = ["/submissions"]
when_store_down = "wait"

[callers.pupils]
key_sha256 = "{DIGEST}"
models = "${{class_models}}"
standing = 2

[[callers.pupils.windows]]
start = 08:00:00
end = "16:00"
priority = 0
days = ["mon", "fri"]
"""


def minimal(**changes):
    model = {"replicas": 1, "memory_bytes": 1}
    caller = {"key_sha256": DIGEST}
    base = {
        "customer": "forge",
        "models": {"tutor": model},
        "callers": {"pupils": caller},
    }
    return {**base, **changes}


class TestReading(unittest.TestCase):
    def test_a_whole_template_in_toml_becomes_the_core_data_classes(self):
        draft = read_text(WHOLE, is_toml=True)
        self.assertIsInstance(draft, Draft, str(draft))
        template = draft.template
        tutor = template.models["tutor"]
        self.assertEqual((tutor.replicas, tutor.memory_bytes), (4, 6 * 2**30))
        self.assertEqual(tutor.adapters, {"maths", "french"})
        desk = template.services["desk"]
        self.assertIs(desk.when_store_down, WhenStoreDown.WAIT)
        pupils = template.callers["pupils"]
        window = PriorityWindow(
            datetime.time(8), datetime.time(16), 0, frozenset({0, 4})
        )
        self.assertEqual(pupils.windows, (window,))
        self.assertEqual(pupils.models, {"tutor"})
        self.assertEqual(template.weights.cold_second, 3.0)

    def test_what_is_stored_reads_back_as_the_same_template_at_its_version(self):
        draft = read_text(WHOLE, is_toml=True)
        value = draft.stored(7)
        again = parse_stored(value)
        self.assertIsInstance(again, Template)
        self.assertEqual(again.version, 7)
        self.assertEqual(again.models, draft.template.models)
        self.assertEqual(again.callers, draft.template.callers)
        self.assertIn("parameters", json.loads(value))

    def test_equal_templates_give_equal_bytes(self):
        turned = dict(reversed(minimal().items()))
        self.assertEqual(
            parse_draft(minimal()).stored(1), parse_draft(turned).stored(1)
        )


class TestProblems(unittest.TestCase):
    def check(self, raw, path, *words):
        outcome = parse_draft(raw)
        self.assertNotIsInstance(outcome, Draft)
        self.assertEqual(len(outcome.problems), 1, str(outcome))
        self.assertEqual(outcome.problems[0].path, path)
        for word in words:
            self.assertIn(word, str(outcome))

    def model(self, **changes):
        return minimal(models={"tutor": {"replicas": 1, "memory_bytes": 1, **changes}})

    def caller(self, **changes):
        return minimal(callers={"pupils": {"key_sha256": DIGEST, **changes}})

    def window(self, **changes):
        base = {"start": "08:00", "end": "16:00", "priority": 0}
        return self.caller(windows=[{**base, **changes}])

    def test_each_bad_field_names_its_path_its_value_and_what_is_allowed(self):
        cases = [
            (minimal(customer="a/b"), "customer", '"a/b"', "no ':' or '/'"),
            (minimal(max_runing=3), "max_runing", "3", "batch_share", "parameters"),
            (minimal(models=[]), "models", "[]"),
            (minimal(time_zone="Mars/Base"), "time_zone", "Mars", "tz database"),
            (minimal(time_zone="../x"), "time_zone", "tz database"),
            (minimal(batch_share=1.5), "batch_share", "1.5", "less than or equal to 1"),
            (minimal(version=-1), "version", "-1"),
            (
                minimal(default_timeout_ms=9, max_timeout_ms=8),
                "default_timeout_ms",
                "9; allowed: at most max_timeout_ms, 8",
            ),
            (
                minimal(models={"a:b": {"replicas": 1, "memory_bytes": 1}}),
                "models.a:b",
                "no ':'",
            ),
            (self.model(replicas="two"), "models.tutor.replicas", '"two"', "integer"),
            (self.model(replicas=True), "models.tutor.replicas", "true", "integer"),
            (self.model(replicas=-1), "models.tutor.replicas", "-1", "equal to 0"),
            (self.model(memory_bytes="6 GB"), "models.tutor.memory_bytes", "GiB"),
            (self.model(memory_bytes=0), "models.tutor.memory_bytes", "than 0"),
            (self.model(adapters=["a b"]), "models.tutor.adapters.0", '"a b"'),
            (self.model(replica=1), "models.tutor.replica", "memory_bytes, replicas"),
            (self.caller(key_sha256="abc"), "callers.pupils.key_sha256", "key new"),
            (self.caller(priority=10), "callers.pupils.priority", "10", "9"),
            (self.caller(models=["x"]), "callers.pupils.models", '"x"', "tutor"),
            (self.caller(services=["x"]), "callers.pupils.services", "none is"),
            (self.caller(batch="yes"), "callers.pupils.batch", '"yes"', "boolean"),
            (self.window(start="8:00"), "callers.pupils.windows.0.start", "HH:MM"),
            (self.window(end="08:00"), "callers.pupils.windows.0.end", "than start"),
            (
                self.window(days=[]),
                "callers.pupils.windows.0.days",
                "one or more of mon",
            ),
            (
                self.window(days=["monday"]),
                "callers.pupils.windows.0.days.0",
                '"monday"',
                "'mon'",
            ),
            (
                minimal(services={"desk": {"non_idempotent": ["x"]}}),
                "services.desk.non_idempotent.0",
                "from '/' on",
            ),
            (
                minimal(services={"desk": {"when_store_down": "pray"}}),
                "services.desk.when_store_down",
                "'refuse' or 'wait'",
            ),
            (minimal(customer="${who}"), "customer", '"${who}"', "none is defined"),
            (minimal(parameters=[1]), "parameters", "names with their values"),
            (minimal(parameters={"a": {}}), "parameters.a", "{}", "text, a number"),
            (minimal(parameters={"1a": 1}), "parameters.1a", "not first a digit"),
            (minimal(batch_share=float("nan")), "(file)", "finite"),
            ([], "(file)", "an object"),
        ]
        for raw, path, *words in cases:
            with self.subTest(path=path, words=words):
                self.check(raw, path, *words)

    def test_a_key_that_two_callers_share_is_refused(self):
        caller = {"key_sha256": DIGEST}
        raw = minimal(callers={"pupils": caller, "teachers": dict(caller)})
        self.check(raw, "callers.teachers.key_sha256", "a key of its own", "'pupils'")

    def test_a_missing_field_and_a_bad_one_are_reported_together(self):
        outcome = parse_draft({"models": {"tutor": {"replicas": "x"}}})
        paths = sorted(problem.path for problem in outcome.problems)
        self.assertEqual(
            paths, ["customer", "models.tutor.memory_bytes", "models.tutor.replicas"]
        )

    def test_text_that_is_neither_toml_nor_json_is_told_where(self):
        self.assertIn("line 1", str(read_text("customer = =", is_toml=True)))
        self.assertIn("line 1", str(read_text("{", is_toml=False)))
        self.assertIn("isn't JSON", str(parse_stored(b"\xff")))
        self.assertIn("isn't JSON", str(parse_stored(b"[" * 100_000)))

    def test_a_template_too_large_to_store_is_refused_with_both_sizes(self):
        adapters = [f"adapter-{number:08d}" for number in range(60_000)]
        outcome = parse_draft(self.model(adapters=adapters))
        self.assertRegex(str(outcome), r"takes \d+ bytes; allowed: at most 900000")
