"""The real programs against stand-ins of the platform, while parts of it fail."""

import asyncio
import json
import signal
import unittest
from pathlib import Path

from bambootiller_platform_standins.store import FailureMode

from tests.adapter.common.fleet import Fleet, wait_until
from tests.adapter.cover.test_documents import MODEL

MODEL_NAME = MODEL["name"]


class TestLoadOnDemand(unittest.IsolatedAsyncioTestCase):
    async def test_a_model_that_no_engine_holds_is_loaded_and_its_caller_served(self):
        async with Fleet() as fleet:
            fleet.configure()
            replica = await fleet.replica("127.0.0.2", "i-1", "llm")
            replica.on_disk.add(MODEL_NAME)
            await fleet.agent("a1", replica)
            entry = await fleet.entry("e1")
            await fleet.wait_ready(entry)

            async def served():
                status, body = await fleet.call(entry, MODEL_NAME)
                return status == 200 and body.endswith(b"data: 5\n\n")

            await wait_until(served, "the cold model is served")
            loads = [order["model"] for order in replica.orders]
            self.assertEqual(loads, [MODEL_NAME])
            self.assertGreater(replica.orders[0]["fencing-token"], 0)

    async def test_an_adapter_is_loaded_when_a_call_requests_it(self):
        async with Fleet() as fleet:
            fleet.configure()
            replica = await fleet.replica("127.0.0.2", "i-1", "llm", (MODEL_NAME,))
            await fleet.agent("a1", replica)
            entry = await fleet.entry("e1")
            await fleet.wait_ready(entry)

            async def served():
                status, _ = await fleet.call(entry, f"{MODEL_NAME}/a3")
                return status == 200

            await wait_until(served, "the adapter is served")
            self.assertEqual(replica.held[MODEL_NAME], {"a3"})


class TestStoreUnavailable(unittest.IsolatedAsyncioTestCase):
    async def test_known_state_is_used_while_the_store_is_silent(self):
        async with Fleet() as fleet:
            fleet.configure()
            await fleet.replica("127.0.0.2", "i-1", "llm", (MODEL_NAME,))
            entry = await fleet.entry("e1")
            await fleet.wait_ready(entry)
            fleet.store.failure_mode = FailureMode.SILENT

            async def outage_detected():
                return bool(entry.events("dependency_lost"))

            await wait_until(
                outage_detected, "the entry detects that the store is silent"
            )
            status, _ = await fleet.call(entry, MODEL_NAME)
            self.assertEqual(status, 200)
            self.assertTrue(await fleet.is_ready(entry))

    async def test_an_entry_that_starts_meanwhile_gets_state_from_a_peer(self):
        """Failure: an entry that restarts during a store outage refuses every call.

        The store answers no request, so the new process has neither a configuration nor
        backend servers, although another entry has both.
        """
        async with Fleet() as fleet:
            fleet.configure(version=5)
            await fleet.replica("127.0.0.2", "i-1", "llm", (MODEL_NAME,))
            first = await fleet.entry("e1")
            await fleet.wait_ready(first)
            fleet.store.failure_mode = FailureMode.BUSY
            seed = first.document["listen"]["control"]
            second = await fleet.entry("e2", seeds=[seed])
            await fleet.wait_ready(second)
            status, _ = await fleet.call(second, MODEL_NAME)
            self.assertEqual(status, 200)
            (applied,) = second.events("config_in_force")
            self.assertEqual((applied["config_version"], applied["source"]), (5, "e1"))

    async def test_a_change_takes_effect_after_the_history_is_compacted(self):
        async with Fleet() as fleet:
            fleet.configure(version=1)
            await fleet.replica("127.0.0.2", "i-1", "llm", (MODEL_NAME,))
            entry = await fleet.entry("e1")
            await fleet.wait_ready(entry)
            fleet.configure(version=2)
            fleet.store.compact_history()
            fleet.configure(version=4)

            async def in_force():
                applied = entry.events("config_in_force")
                return applied[-1]["config_version"] == 4

            await wait_until(in_force, "version 4 is in force")
            versions = [
                line["config_version"] for line in entry.events("config_in_force")
            ]
            self.assertEqual(versions, sorted(versions))


class TestMetrics(unittest.IsolatedAsyncioTestCase):
    async def test_both_programs_export_metrics(self):
        async with Fleet() as fleet:
            fleet.configure()
            replica = await fleet.replica("127.0.0.2", "i-1", "llm")
            replica.on_disk.add(MODEL_NAME)
            agent = await fleet.agent("a1", replica)
            entry = await fleet.entry("e1")
            await fleet.wait_ready(entry)

            async def served():
                status, _ = await fleet.call(entry, MODEL_NAME)
                return status == 200

            await wait_until(served, "the cold model is served")
            found = await fleet.metrics(entry)
            answered = [
                value
                for name, value in found.items()
                if name.startswith("bambootiller_requests_total")
                and 'outcome="answered"' in name
            ]
            self.assertEqual(answered, [1])
            self.assertEqual(found["bambootiller_first_part_seconds_count"], 1)
            self.assertEqual(found["bambootiller_config_version"], 1)
            found = await fleet.metrics(agent)
            loads = 'bambootiller_load_seconds_count{held="yes",tier="copy"}'
            self.assertEqual(found[loads], 1)
            self.assertEqual(found["bambootiller_engine_models"], 1)
            self.assertGreater(found["bambootiller_fencing_token"], 0)

    async def test_an_invalid_metrics_address_is_reported_at_the_start(self):
        async with Fleet() as fleet:
            fleet.configure()
            replica = await fleet.replica("127.0.0.2", "i-1", "llm")
            agent = await fleet.agent("a1", replica)
            program = await fleet.start("agent", agent.document, metrics="9464")
            self.assertEqual(await program.process.wait(), 78)
            self.assertIn("HOST:PORT", program.log.read_text())


class TestSignals(unittest.IsolatedAsyncioTestCase):
    async def test_sighup_reloads_settings_without_ending_the_process(self):
        """Failure: SIGHUP after a settings change ended the process with code 129."""
        async with Fleet() as fleet:
            fleet.configure()
            replica = await fleet.replica("127.0.0.2", "i-1", "llm", (MODEL_NAME,))
            agent = await fleet.agent("a1", replica)
            entry = await fleet.entry("e1")
            await fleet.wait_ready(entry)
            for program in (entry, agent):
                program.process.send_signal(signal.SIGHUP)

                async def reloaded(program=program):
                    return bool(program.events("reloaded"))

                await wait_until(reloaded, "the settings are read again")
            status, _ = await fleet.call(entry, MODEL_NAME)
            self.assertEqual(status, 200)

    async def test_sighup_during_startup_does_not_end_the_process(self):
        """Failure: a process ends when its settings change while it starts.

        SIGHUP arrives while the libraries are being imported. If the handler were
        installed only after that, the default action would end the process.
        """
        async with Fleet() as fleet:
            fleet.configure()
            await fleet.replica("127.0.0.2", "i-1", "llm", (MODEL_NAME,))
            entry = await fleet.entry("e1")
            maps = Path(f"/proc/{entry.process.pid}/maps")

            async def importing():
                return "pydantic" in maps.read_text()

            await wait_until(
                importing, "the libraries are being imported", pause_s=0.001
            )
            self.assertEqual(entry.events("started"), [])
            entry.process.send_signal(signal.SIGHUP)

            async def reloaded():
                return bool(entry.events("reloaded"))

            await wait_until(reloaded, "the settings are read again")
            await fleet.wait_ready(entry)
            self.assertIsNone(entry.process.returncode)

    async def test_a_planned_stop_interrupts_no_stream(self):
        async with Fleet() as fleet:
            fleet.configure()
            replica = await fleet.replica("127.0.0.2", "i-1", "llm", (MODEL_NAME,))
            replica.events, replica.gap_s = 40, 0.05
            entry = await fleet.entry("e1")
            await fleet.wait_ready(entry)
            calls = [
                asyncio.ensure_future(fleet.call(entry, MODEL_NAME, attempt=f"r-{n}"))
                for n in range(5)
            ]

            async def running():
                return len(replica.runs) == 5

            await wait_until(running, "five streams run")
            code = await entry.stop()
            self.assertEqual(code, 0)
            for status, body in await asyncio.gather(*calls):
                self.assertEqual(status, 200)
                self.assertTrue(body.endswith(b"data: 40\n\n"))
            self.assertFalse(await fleet.is_ready(entry))

    async def test_invalid_settings_are_reported(self):
        async with Fleet() as fleet:
            entry = await fleet.start("entry", {"node-name": "e1"})
            code = await asyncio.wait_for(entry.process.wait(), 30)
            self.assertNotEqual(code, 0)
            self.assertIn("internal-ports", entry.log.read_text())
            self.assertNotIn(json.dumps({"ready": True})[1:-1], entry.log.read_text())
