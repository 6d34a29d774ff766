"""The commands: what they print, what they exit with, and that nothing else happens."""

import hashlib
import unittest

from bambootiller.cli.exits import Exit
from bambootiller_core.ports import Compare, Put
from tests.cli.common import DIGEST, draft, stored_replicas, trail
from tests.cli.fakes import CommandLine, FakeFleet, member, silent, survey
from tests.common.fakekv import Fault

DOCUMENT = {
    "customer": "forge",
    "parameters": {"exam_replicas": 2},
    "models": {"tutor": {"replicas": "${exam_replicas}", "memory_bytes": 1}},
    "callers": {"pupils": {"key_sha256": DIGEST}},
}


class Commands(unittest.TestCase):
    def setUp(self):
        self.cli = CommandLine()
        self.addCleanup(self.cli.close)

    def apply(self, document=DOCUMENT, *args):
        path = self.cli.file(document)
        return self.cli.run("template", "apply", path, "--reason", "exams", *args)


class TestTemplates(Commands):
    def test_apply_history_show_and_audit_tell_one_story(self):
        result = self.apply()
        self.assertEqual(result.exit_code, Exit.OK, result.output)
        self.assertIn("forge: version 1 is accepted", result.stdout)
        code, shown = self.cli.run_json("template", "show", "forge")
        self.assertEqual((code, shown), (Exit.OK, {**DOCUMENT, "version": 1}))
        code, history = self.cli.run_json("template", "history", "forge")
        self.assertEqual([item["who"] for item in history], ["ada"])
        text = self.cli.run("audit").stdout
        self.assertIn("forge version 1 by ada", text)
        self.assertIn("exams", text)

    def test_what_show_prints_can_be_edited_and_applied(self):
        self.apply()
        _, shown = self.cli.run_json("template", "show", "forge")
        shown["parameters"]["exam_replicas"] = 3
        self.assertEqual(self.apply(shown).exit_code, Exit.OK)
        self.assertEqual(stored_replicas(self.cli.kv), 3)
        # The same file again started from version 1, and version 2 stands.
        shown["parameters"]["exam_replicas"] = 4
        result = self.apply(shown)
        self.assertEqual(result.exit_code, Exit.REFUSED)
        self.assertIn("version 2 by ada", result.stderr)
        self.assertIn("parameters.exam_replicas: 2 -> 3", result.stderr)

    def test_a_parameter_is_set_without_the_file(self):
        self.apply()
        args = ("template", "set", "forge", "exam_replicas=5", "--reason", "more")
        self.assertEqual(self.cli.run(*args).exit_code, Exit.OK)
        self.assertEqual(stored_replicas(self.cli.kv), 5)
        self.assertEqual(trail(self.cli.kv)[-1].reason, "more")

    def test_a_parameter_that_does_not_exist_or_fit_is_refused(self):
        self.apply()
        for value, words in (("exams=5", "exam_replicas"), ("exam_replicas=x", "int")):
            with self.subTest(value=value):
                result = self.cli.run(
                    "template", "set", "forge", value, "--reason", "r"
                )
                self.assertEqual(result.exit_code, Exit.INVALID)
                self.assertIn(words, result.stderr)
        self.assertEqual(len(trail(self.cli.kv)), 1)

    def test_a_bad_template_is_refused_before_the_service_is_asked(self):
        path = self.cli.file("customer = 3", ".toml")
        result = self.cli.run("template", "check", path)
        self.assertEqual(result.exit_code, Exit.INVALID)
        self.assertEqual(result.stderr.strip(), "customer: 3; allowed: string")
        code, document = self.cli.run_json("template", "check", path)
        self.assertEqual(document["problems"][0]["path"], "customer")

    def test_diff_shows_what_apply_would_change(self):
        self.apply()
        path = self.cli.file(DOCUMENT)
        result = self.cli.run("template", "diff", path, "--set", "exam_replicas=9")
        self.assertIn("parameters.exam_replicas: 2 -> 9", result.stdout)
        self.assertIn("no difference", self.cli.run("template", "diff", path).stdout)

    def test_each_ending_has_its_own_exit_code(self):
        self.cli.kv.down = True
        self.assertEqual(self.apply().exit_code, Exit.UNREACHABLE)
        self.cli.kv.down = False
        self.cli.kv.faults.extend([Fault.LOST_BEFORE] * 5)
        result = self.apply()
        self.assertEqual(result.exit_code, Exit.UNKNOWN)
        self.assertIn("may or may not be in force", result.stderr)
        self.assertEqual(self.cli.run("template", "show", "nobody").exit_code, 1)
        self.assertEqual(self.cli.run("template", "apply").exit_code, Exit.INVALID)

    def test_a_missing_address_is_told_by_flag_and_variable(self):
        self.cli.env = {}
        result = self.cli.run("audit")
        self.assertEqual(result.exit_code, Exit.INVALID)
        self.assertIn("--kv-url (variable BAMBOOTILLER_KV_URL)", result.stderr)

    def test_the_loser_of_a_race_is_told_as_json_as_well(self):
        self.apply()
        path = self.cli.file({**DOCUMENT, "version": 0, "batch_share": 0.5})
        self.cli.kv.before_transact = self._rival
        code, document = self.cli.run_json(
            "template", "apply", path, "--reason", "late"
        )
        self.assertEqual((code, document["outcome"]), (Exit.REFUSED, "lost_race"))

    def _rival(self):
        record = self.cli.kv.records["/bambootiller/templates/forge"]
        compare = Compare(record.key, record.mod_revision)
        self.cli.kv.commit([compare], [Put(record.key, draft(7).stored(2))])


class TestWaiting(Commands):
    def wait(self, *surveys):
        self.cli.fleet = FakeFleet(*surveys)
        return self.apply(DOCUMENT, "--wait", "--timeout", "5")

    def test_it_waits_until_the_last_member_has_followed(self):
        behind, there = member("i-2"), member("i-2", forge=1)
        first = member("i-1", forge=1)
        result = self.wait(survey(first, behind), survey(first, there))
        self.assertEqual(result.exit_code, Exit.OK)
        self.assertIn("in force on all 2 members", result.stdout)
        self.assertIn("version 1 in force on: 1 of 2 members", result.stderr)

    def test_a_later_version_counts_and_a_leaving_member_does_not(self):
        leaving = member("i-2", leaving=True)
        result = self.wait(
            survey(member("i-1", forge=4), leaving, silent("i", "leaving"))
        )
        self.assertEqual(result.exit_code, Exit.OK, result.output)

    def test_who_lags_and_who_is_silent_is_named_when_time_is_up(self):
        result = self.wait(survey(member("i-1", forge=1), member("i-2"), silent("i-3")))
        self.assertEqual(result.exit_code, Exit.NOT_EVERYWHERE)
        self.assertIn("i-2: version 0", result.stderr)
        self.assertIn("i-3: unavailable", result.stderr)
        self.assertGreaterEqual(self.cli.seconds, 5)

    def test_without_any_member_nothing_is_claimed(self):
        result = self.wait()
        self.assertEqual(result.exit_code, Exit.NOT_EVERYWHERE)
        self.assertIn("nobody is configured", result.stderr)


class TestFleet(Commands):
    def test_status_shows_who_lags_and_who_is_silent(self):
        self.cli.fleet = FakeFleet(
            survey(member("i-1", forge=2), member("i-2", forge=1), silent("i-3"))
        )
        result = self.cli.run("status")
        self.assertEqual(result.exit_code, Exit.OK)
        lines = [line.split() for line in result.stdout.splitlines()]
        self.assertEqual(lines[2][-1], "forge:2")
        self.assertEqual(lines[3][-1], "forge:2")
        self.assertIn("2 members answer, 1 don't", result.stdout)

    def test_status_without_members_is_unreachable(self):
        self.assertEqual(self.cli.run("status").exit_code, Exit.UNREACHABLE)

    def test_explain_shows_reason_and_figures(self):
        decision = {
            "subject": "request/r-1",
            "kind": "admission",
            "outcome": "refused",
            "reason": "the wait is longer than the time left",
            "figures": {"wait_ms": 900, "left_ms": 400},
            "age_s": 1.5,
        }
        self.cli.fleet = FakeFleet(decisions=[decision])
        result = self.cli.run("explain", "request", "r-1")
        self.assertIn("admission: refused, because the wait", result.stdout)
        self.assertIn("(wait_ms 900, left_ms 400)", result.stdout)
        code, document = self.cli.run_json("explain", "model", "forge", "tutor")
        self.assertEqual(document["subject"], "model/forge/tutor")

    def test_a_subject_that_nobody_knows_is_told(self):
        result = self.cli.run("explain", "instance", "i-9")
        self.assertEqual(result.exit_code, Exit.REFUSED)
        self.assertIn("no member has a record about instance/i-9", result.stdout)


class TestOthers(Commands):
    def test_a_new_key_comes_with_the_digest_that_the_template_takes(self):
        code, made = self.cli.run_json("key", "new")
        digest = hashlib.sha256(made["key"].encode()).hexdigest()
        self.assertEqual(made["key_sha256"], digest)
        self.assertNotEqual(made, self.cli.run_json("key", "new")[1])

    def test_settings_names_flag_variable_value_and_origin_and_hides_secrets(self):
        self.cli.env = {"BAMBOOTILLER_KV_PASSWORD": "s3cret"}
        code, found = self.cli.run_json("settings", "--role", "agent", "--zone", "az-9")
        self.assertEqual(code, Exit.INVALID)
        by_flag = {item["flag"]: item for item in found["settings"]}
        self.assertEqual(by_flag["--zone"]["origin"], "flag")
        self.assertEqual(by_flag["--kv-password"]["value"], "(hidden)")
        self.assertEqual(by_flag["--instance"]["origin"], "not usable")
        flags = [problem["flag"] for problem in found["problems"]]
        self.assertEqual(flags, ["--instance", "--region", "--kv-url"])

    def test_every_command_has_help_and_takes_json(self):
        def walk(command, path):
            for name, inner in getattr(command, "commands", {}).items():
                yield from walk(inner, (*path, name))
            if not hasattr(command, "commands"):
                yield path

        from bambootiller.cli.main import main

        for path in walk(main, ()):
            with self.subTest(path=path):
                result = self.cli.run(*path, "--help")
                self.assertEqual(result.exit_code, Exit.OK)
                self.assertIn("--json", result.stdout)
