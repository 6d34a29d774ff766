"""Poison requests: they crash every engine that runs them, and are retried at any
entry."""

import asyncio
import signal
import unittest

import aiohttp
from bambootiller_platform_standins.httpd import Reply
from bambootiller_platform_standins.replica import StandinReplica

from tests.adapter.common.entry import EntryHarness
from tests.adapter.common.fleet import Fleet, wait_until
from tests.adapter.cover.test_documents import MODEL, ROUTE
from tests.gateway.common.samples import engine_state

MODEL_NAME = MODEL["name"]
POISON = b"ends the engine"
STREAM = b"a long stream"
#: A request that was running at so many crashes must reach no engine any more.
QUARANTINE_CRASHES = 3
#: The pause between two attempts of a caller: entries have exchanged updates by then.
#: An engine is down for longer, so attempts reach different engines. Seconds.
RETRY_INTERVAL_S = 0.3
#: A replica restarted under a new id is listed after so long, and its previous id
#: stays listed beside it for as long again. Seconds.
RELIST_DELAY_S = 0.8


class PoisonedFleet(Fleet):
    """Entries and engines; a request with the body :data:`POISON` crashes an engine."""

    def __init__(self):
        super().__init__()
        self.entries = []

    async def begin(self, entries=2, engines=4, renamed=False):
        """Start the fleet; each engine holds the model.

        If ``renamed``, a replica restarts under a new id, which the registry lists a
        moment later, beside its previous id, and no start time is reported.
        """
        self.configure()
        for number in range(engines):
            host = f"127.0.0.{number + 2}"
            replica = await self.replica(host, f"i-{number}", "llm", (MODEL_NAME,))
            replica.on_disk.add(MODEL_NAME)
            replica.poison = POISON
            replica.on_start = self.relist_callback(replica)
            if renamed:
                replica.reports_start = False
                self.store.put(f"servers/{replica.instance}", replica.entry())
                replica.on_start = self._relist_renamed_callback(replica)
            await self.agent(f"a{number}", replica)
        for number in range(entries):
            self.entries.append(await self.entry(f"e{number}"))
        for entry in self.entries:
            await self.wait_ready(entry)
        for entry in self.entries:
            await self.wait_served(entry)
            await self.wait_entries_known(entry)

    async def wait_entries_known(self, entry):
        """Wait until the entry knows how many entries share the retry budget.

        Until then its share is too small for a stream whose engines crash.
        """

        async def knows():
            found = await self.metrics(entry)
            return found["bambootiller_entries_known"] >= len(self.entries)

        await wait_until(
            knows, f"{entry.document['node-name']} knows the number of entries"
        )

    async def wait_served(self, entry):
        """Wait until the entry serves calls for the model."""

        async def served():
            status, _ = await self.call(entry, MODEL_NAME, body=b"first")
            return status == 200

        await wait_until(served, f"{entry.document['node-name']} serves")

    async def send_repeatedly(self, count, entries, body=POISON):
        """Send ``count`` calls to the entries, round robin; returns the statuses."""
        statuses = []
        for number in range(count):
            entry = entries[number % len(entries)]
            statuses.append(await self.status(entry, body, f"p-{number}"))
            await asyncio.sleep(RETRY_INTERVAL_S)
        return statuses

    async def set_source_address(self, host):
        """Send further calls from the source address ``host``."""
        await self.session.close()
        connector = aiohttp.TCPConnector(local_addr=(host, 0), force_close=True)
        self.session = aiohttp.ClientSession(connector=connector)

    async def status(self, entry, body, attempt):
        """The status of one call, None if its connection failed."""
        try:
            status, _ = await self.call(entry, MODEL_NAME, attempt=attempt, body=body)
        except aiohttp.ClientError:
            return None
        return status

    def _relist_renamed_callback(self, replica):
        def start():
            before = replica.instance
            replica.instance = f"{before}+"
            loop = asyncio.get_running_loop()
            put, remove = self.store.put, self.store.remove
            loop.call_later(
                RELIST_DELAY_S, put, f"servers/{replica.instance}", replica.entry()
            )
            loop.call_later(2 * RELIST_DELAY_S, remove, f"servers/{before}")

        return start

    def poison_runs(self):
        """How many runs of the poison request engines have started."""
        return sum(
            run.body == POISON
            for replica in self.replicas.values()
            for run in replica.runs
        )

    def crashes(self):
        """How many crashes all engines together have had."""
        return sum(replica.crashes for replica in self.replicas.values())

    def relist_callback(self, replica):
        """A callback that lists a restarted replica under its id."""

        def put():
            self.store.put(f"servers/{replica.instance}", replica.entry())

        return put


class TestPoisonRequest(unittest.IsolatedAsyncioTestCase):
    async def test_it_reaches_no_engine_after_its_third_crash(self):
        async with PoisonedFleet() as fleet:
            await fleet.begin()
            statuses = await fleet.send_repeatedly(12, fleet.entries)
            self.assertLessEqual(fleet.poison_runs(), QUARANTINE_CRASHES, statuses)
            self.assertEqual(set(statuses[2:]), {503}, statuses)
            self.assertEqual(fleet.crashes(), QUARANTINE_CRASHES)

    async def test_an_entry_that_starts_later_refuses_it_too(self):
        async with PoisonedFleet() as fleet:
            await fleet.begin(entries=1)
            await fleet.send_repeatedly(3, fleet.entries)
            late = await fleet.entry("late")
            await fleet.wait_ready(late)
            await fleet.wait_served(late)
            await fleet.send_repeatedly(3, [late])
            self.assertEqual(fleet.poison_runs(), QUARANTINE_CRASHES)

    async def test_it_is_quarantined_though_engines_return_under_other_names(self):
        """The agent reports the restarted engine under the previous id, which made
        the crash look like a lost connection.
        """
        async with PoisonedFleet() as fleet:
            await fleet.begin(renamed=True)
            await fleet.send_repeatedly(20, fleet.entries)
            self.assertEqual(fleet.poison_runs(), QUARANTINE_CRASHES)

    async def test_it_is_quarantined_whatever_its_source_address(self):
        """A caller's attempts have different source addresses, depending on the entry
        that each goes to.
        """
        async with PoisonedFleet() as fleet:
            await fleet.begin()
            for number in range(6):
                await fleet.set_source_address(f"127.0.1.{number + 1}")
                await fleet.send_repeatedly(1, fleet.entries[number % 2 :])
            self.assertEqual(fleet.poison_runs(), QUARANTINE_CRASHES)

    async def test_crashes_that_an_entry_saw_outlive_it(self):
        async with PoisonedFleet() as fleet:
            await fleet.begin()
            await fleet.send_repeatedly(3, fleet.entries[:1])
            await fleet.entries[0].stop(signal.SIGKILL)
            await fleet.send_repeatedly(3, fleet.entries[1:])
            self.assertEqual(fleet.poison_runs(), QUARANTINE_CRASHES)

    async def test_quarantine_survives_the_end_of_all_processes(self):
        async with PoisonedFleet() as fleet:
            await fleet.begin(entries=1)
            await fleet.send_repeatedly(3, fleet.entries)
            for program in fleet._programs:
                await program.stop(signal.SIGKILL)
            for number, replica in enumerate(fleet.replicas.values()):
                await fleet.agent(f"a{number}", replica)
            entry = await fleet.entry("later")
            await fleet.wait_ready(entry)
            await fleet.send_repeatedly(3, [entry])
            self.assertEqual(fleet.poison_runs(), QUARANTINE_CRASHES)

    async def test_one_that_produces_events_first_is_quarantined_after_six_crashes(
        self,
    ):
        async with PoisonedFleet() as fleet:
            await fleet.begin()
            for replica in fleet.replicas.values():
                replica.poison_events = True
            await fleet.send_repeatedly(14, fleet.entries)
            self.assertLessEqual(fleet.poison_runs(), 2 * QUARANTINE_CRASHES)


class TestSoundRequests(unittest.IsolatedAsyncioTestCase):
    """Requests that happened to run at crashing engines are still served."""

    async def test_they_are_served_beside_a_poison_request(self):
        async with PoisonedFleet() as fleet:
            await fleet.begin()
            poisoning = asyncio.create_task(fleet.send_repeatedly(10, fleet.entries))
            refused = []
            while not poisoning.done():
                entry = fleet.entries[len(refused) % 2]
                body = b"sound %d" % len(refused)
                refused.append(await fleet.status(entry, body, f"s-{len(refused)}"))
                await asyncio.sleep(0.02)
            await poisoning
            for entry in fleet.entries:
                await fleet.wait_served(entry)
                reasons = {line["reason"] for line in entry.events("refused")}
                quarantined = entry.events("request_quarantined")
                self.assertEqual(len(quarantined), 1, quarantined)
                self.assertIn("quarantined", reasons)

    async def test_a_stream_whose_engines_crash_is_served_by_resuming(self):
        async with PoisonedFleet() as fleet:
            await fleet.begin(entries=1, engines=6)
            fleet.configure(
                version=2, routes=[{**ROUTE, "max-attempts": 7, "timeout-ms": 20000}]
            )
            for replica in fleet.replicas.values():
                replica.events, replica.gap_s = 60, 0.05
            entry = fleet.entries[0]
            calling = asyncio.create_task(fleet.status(entry, STREAM, "s-1"))
            crashing = []
            for number in range(5):
                replica = await self.replica_of_run(fleet, number)
                await asyncio.sleep(0.2)
                crashing.append(asyncio.create_task(replica.crash()))
            self.assertEqual(await calling, 200)
            await asyncio.gather(*crashing)
            self.assertEqual(entry.events("request_quarantined"), [])

    async def replica_of_run(self, fleet, number):
        """Wait for run ``number`` of the stream; returns the replica that runs it."""
        found = {}

        async def has_started():
            runs = {
                name: sum(run.body == STREAM for run in replica.runs)
                for name, replica in fleet.replicas.items()
            }
            grown = [name for name in runs if runs[name] > self.runs_seen.get(name, 0)]
            if grown:
                found["replica"], self.runs_seen = grown[0], runs
            return bool(grown)

        await wait_until(
            has_started, f"run {number} of the stream starts", pause_s=0.02
        )
        return fleet.replicas[found["replica"]]

    def setUp(self):
        self.runs_seen = {}


class TestEngineLostSilently(unittest.IsolatedAsyncioTestCase):
    """An engine dies without closing its connections, so its runs end only when their
    callers disconnect. If those runs didn't count as lost, the poison request would go
    on to the next engine.
    """

    async def asyncSetUp(self):
        self.harness = EntryHarness()
        self.harness.configure()
        for number in range(4):
            replica = StandinReplica(f"i-{number}", "llm", (MODEL_NAME,))
            replica.next_replies = [lambda request: Reply(silent=True)] * 9
            await self.harness.add(replica)

    async def asyncTearDown(self):
        await self.harness.close()

    def report_silent_engines(self):
        """Have the agents report each engine that has run a call as silent."""
        now = asyncio.get_running_loop().time()
        for replica in self.harness.replicas:
            if replica.runs:
                state = engine_state(
                    replica.instance,
                    (MODEL_NAME,),
                    silent=True,
                    started_ms=replica.started_ms,
                )
                self.harness.gateway_state.fleet.engine_reported(now, state)

    async def call_and_disconnect(self, expires_first=False):
        calling = asyncio.create_task(
            self.harness.call(path=b"/a/x", disconnect_after_s=0.2, x_model=MODEL_NAME)
        )
        await asyncio.sleep(0.1)
        self.report_silent_engines()
        if expires_first:
            self.expire_registrations()
        answer = await calling
        self.expire_registrations()
        return answer

    def expire_registrations(self):
        """Remove each engine that has run a call from the registry."""
        now = asyncio.get_running_loop().time()
        for replica in self.harness.replicas:
            if replica.runs:
                self.harness.gateway_state.fleet.registry_removed(now, replica.instance)

    async def test_abandoned_runs_count_as_lost(self):
        await self.assert_quarantined(expires_first=False)

    async def test_runs_abandoned_after_the_registration_expired_count_too(self):
        await self.assert_quarantined(expires_first=True)

    async def assert_quarantined(self, expires_first):
        for _ in range(QUARANTINE_CRASHES):
            await self.call_and_disconnect(expires_first)
        answer = await self.call_and_disconnect()
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.body, b"quarantined")
        runs = sum(len(replica.runs) for replica in self.harness.replicas)
        self.assertEqual(runs, QUARANTINE_CRASHES)
