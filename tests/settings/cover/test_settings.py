"""Settings: precedence, messages and the options that derive from the table."""

import unittest

import click
from click.testing import CliRunner

from bambootiller.settings import (
    AGENT,
    ENTRY,
    OPERATOR,
    Address,
    Origin,
    ServiceUrl,
    Settings,
    SettingsRejected,
    click_options,
    examine,
    load_settings,
    rows,
)

NEEDED = {
    "instance": "i-1",
    "zone": "az-1",
    "region": "r1",
    "kv_url": "http://127.0.0.1:2379",
}


class TestPrecedence(unittest.TestCase):
    def test_a_flag_goes_before_its_variable_and_a_variable_before_the_default(self):
        env = {"BAMBOOTILLER_DRAIN_SECONDS": "5", "BAMBOOTILLER_GOSSIP_FANOUT": "4"}
        found = examine(ENTRY, {**NEEDED, "drain_seconds": "7"}, env)
        by_name = {item.row.name: (item.value, item.origin) for item in found.resolved}
        self.assertEqual(by_name["drain_seconds"], (7.0, Origin.FLAG))
        self.assertEqual(by_name["gossip_fanout"], (4, Origin.VARIABLE))
        self.assertEqual(by_name["watchers_per_zone"], (2, Origin.DEFAULT))

    def test_an_empty_variable_counts_as_not_set(self):
        cfg = load_settings(ENTRY, NEEDED, {"BAMBOOTILLER_DRAIN_SECONDS": ""})
        self.assertEqual(cfg.drain_seconds, 30.0)

    def test_an_agent_reads_its_backend_server_and_services(self):
        flags = {**NEEDED, "services": "desk=http://127.0.0.1:1/x/,b=http://h:2"}
        cfg = load_settings(AGENT, flags, {"BAMBOOTILLER_RPC_LISTEN": "[::1]:0"})
        desk, other = cfg.services
        self.assertEqual(desk, ServiceUrl("desk", "http://127.0.0.1:1/x"))
        self.assertEqual(other, ServiceUrl("b", "http://h:2"))
        self.assertEqual(cfg.rpc_listen, Address("::1", 0))
        self.assertEqual(str(cfg.rpc_listen), "[::1]:0")


class TestRejections(unittest.TestCase):
    def test_every_bad_value_is_named_with_flag_variable_value_and_what_is_allowed(
        self,
    ):
        cases = [
            ("instance", "no spaces", "letters"),
            ("rpc_listen", "127.0.0.1", "HOST:PORT"),
            ("rpc_listen", "127.0.0.1:65536", "65535"),
            ("rpc_listen", "::1:7", "brackets"),
            ("rpc_advertise", "127.0.0.1:0", "from 1"),
            ("kv_url", "ftp://x", "http://"),
            ("kv_url", "http://a,,http://b", "comma-separated"),
            ("kv_url", "http://a:99999999", "URL"),
            ("instances_url", "http://u:p@h/", "without user"),
            ("log_level", "loud", "one of debug"),
            ("drain_seconds", "nan", "0 to 3600"),
            ("drain_seconds", "-1", "0 to 3600"),
            ("gossip_fanout", "2.5", "whole number"),
            ("max_body_bytes", "1GiB", "67108864"),
            ("max_body_bytes", "1 MB", "MiB"),
            ("operator_keys", "abc", "64 hexadecimal"),
            ("peers", "10.0.0.1:7,10.0.0.1:7", "comma-separated"),
        ]
        for name, value, allowed in cases:
            with self.subTest(name=name, value=value):
                outcome = load_settings(ENTRY, {**NEEDED, name: value}, {})
                self.assertIsInstance(outcome, SettingsRejected)
                (problem,) = outcome.problems
                text = str(problem)
                self.assertIn("--" + name.replace("_", "-"), text)
                self.assertIn("BAMBOOTILLER_" + name.upper(), text)
                self.assertIn(repr(value), text)
                self.assertIn(allowed, text)

    def test_all_that_is_missing_is_reported_at_once(self):
        outcome = load_settings(ENTRY, {}, {})
        flags = [problem.flag for problem in outcome.problems]
        self.assertEqual(flags, ["--instance", "--zone", "--region", "--kv-url"])

    def test_half_of_the_tls_files_are_refused(self):
        outcome = load_settings(ENTRY, {**NEEDED, "tls_cert": "a.pem"}, {})
        flags = [problem.flag for problem in outcome.problems]
        self.assertEqual(flags, ["--tls-key", "--tls-ca"])

    def test_an_agent_without_engine_and_services_is_refused(self):
        outcome = load_settings(AGENT, NEEDED, {})
        self.assertIn("--engine-url", str(outcome))

    def test_a_bad_secret_is_never_shown(self):
        outcome = load_settings(ENTRY, {**NEEDED, "kv_password": "a\nb"}, {})
        self.assertNotIn("a\\nb", str(outcome))


class TestTable(unittest.TestCase):
    def test_each_role_can_be_built_from_defaults_and_what_is_required(self):
        self.assertIsInstance(load_settings(ENTRY, NEEDED, {}), Settings)
        self.assertIsInstance(load_settings(OPERATOR, {}, {}), Settings)

    def test_every_default_passes_its_own_parser(self):
        for row in rows():
            text = row.shown(row.default)
            if text and not row.secret:
                with self.subTest(row=row.name):
                    self.assertEqual(row.parse(text), row.default)

    def test_the_options_of_a_command_hand_their_text_on(self):
        seen = {}

        @click.command()
        @click_options(ENTRY)
        def entry(**flags):
            seen.update(flags)

        result = CliRunner().invoke(entry, ["--zone", "az-9"])
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertEqual(seen["zone"], "az-9")
        self.assertIsNone(seen["region"])
        self.assertNotIn("engine_url", seen)

    def test_help_names_the_variable_and_the_default_of_each_option(self):
        @click.command()
        @click_options(ENTRY)
        def entry(**flags):
            pass

        text = " ".join(CliRunner().invoke(entry, ["--help"]).output.split())
        for row in rows(ENTRY):
            self.assertIn(row.flag, text)
            self.assertIn(row.variable, text)
        self.assertIn("default 512", text)
