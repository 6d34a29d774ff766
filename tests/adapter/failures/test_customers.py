"""API keys and quotas of customers, with real processes."""

import asyncio
import contextlib
import signal
import time
import unittest

import aiohttp

from tests.adapter.common.fleet import Fleet, wait_until

MODEL = "tutor"
KEY, OTHER_KEY = "key-of-first-4f1c", "key-of-second-9ab2"
TOKENS = {"X-Token-Usage": "90,10"}


def customer(name, *keys, **fields):
    return {"name": name, "api-keys": list(keys), **fields}


def bearer(key, **headers):
    return {"Authorization": f"Bearer {key}", **TOKENS, **headers}


class CustomerFleet(Fleet):
    """One engine with its agent, and entries."""

    async def begin(self, customers, entries=1):
        self.configure(tenants=customers)
        self.engine = await self.replica("127.0.0.2", "i-1", "llm", (MODEL,))
        self.agent_program = await self.agent("a1", self.engine)
        found = [await self.entry(f"e{number}") for number in range(entries)]
        for entry in found:
            await self.wait_ready(entry)
        return found

    async def statuses(self, entry, count, headers, pause_s=0.0):
        """Send ``count`` calls one after the other and return their statuses."""
        found = []
        for number in range(count):
            attempt = f"{entry.document['node-name']}-{len(self.engine.runs)}-{number}"
            status, _ = await self.call(entry, MODEL, attempt=attempt, headers=headers)
            found.append(status)
            await asyncio.sleep(pause_s)
        return found


class TimedRuns(list):
    """A list of runs that records when each run began."""

    def __init__(self):
        super().__init__()
        self.times = []

    def append(self, run):
        self.times.append(time.monotonic())
        super().append(run)

    def max_in_window(self, window_s):
        """Return the maximum number of runs in any window of ``window_s`` seconds."""
        return max(
            sum(begin <= at < begin + window_s for at in self.times)
            for begin in self.times
        )


class TestKeys(unittest.IsolatedAsyncioTestCase):
    """Guards against calls without a valid key, and against keys that leave the system.

    Keys of callers were forwarded to backend servers, calls with unknown keys were
    served, and callers could name a customer in a header themselves.
    """

    async def test_backend_servers_get_the_customers_name_and_no_key(self):
        async with CustomerFleet() as fleet:
            customers = [customer("first", KEY), customer("second", OTHER_KEY)]
            (entry,) = await fleet.begin(customers)
            spoofed = bearer(KEY, **{"X-Tenant": "second"})
            self.assertEqual(await fleet.statuses(entry, 2, spoofed), [200, 200])
            for run in fleet.engine.runs:
                self.assertEqual(run.headers["x-tenant"], "first")
                self.assertNotIn("authorization", run.headers)
                self.assertNotIn(KEY, repr(run))
            for program in (entry, fleet.agent_program):
                self.assertNotIn(KEY, program.log.read_text())

    async def test_bad_keys_are_refused_and_nothing_runs(self):
        async with CustomerFleet() as fleet:
            (entry,) = await fleet.begin([customer("first", KEY)])
            bad = (
                {},
                {"Authorization": ""},
                {"Authorization": "Bearer"},
                {"Authorization": "Bearer nobody"},
                {"Authorization": f"Basic {KEY}"},
                {"Authorization": f"Bearer {KEY} {KEY}"},
                {"Authorization": KEY},
                {"Authorization": "Bearer " + "k" * 9000},
                {"Authorization": "Bearer \u00ff\u00fe"},
            )
            for headers in bad:
                with self.subTest(headers=headers):
                    found = await fleet.statuses(entry, 1, headers)
                    self.assertEqual(found, [401])
            self.assertEqual(fleet.engine.runs, [])
            good = {"Authorization": f"bEARER   {KEY} "}
            self.assertEqual(await fleet.statuses(entry, 1, good), [200])

    async def test_a_removed_key_is_refused(self):
        async with CustomerFleet() as fleet:
            (entry,) = await fleet.begin([customer("first", KEY)])
            self.assertEqual(await fleet.statuses(entry, 1, bearer(KEY)), [200])
            fleet.configure(version=2, tenants=[customer("first")])

            async def refused():
                return await fleet.statuses(entry, 1, bearer(KEY)) == [401]

            await wait_until(refused, "the key is refused", seconds=3.0)
            changed = entry.events("customer_keys_changed")
            self.assertEqual(
                [(x["customer"], x["removed"]) for x in changed], [("first", 1)]
            )

    async def test_a_document_with_a_key_of_two_customers_changes_nothing(self):
        async with CustomerFleet() as fleet:
            (entry,) = await fleet.begin([customer("first", KEY)])
            for number, fields in enumerate(
                (
                    {"tenants": [customer("a", KEY), customer("b", KEY)]},
                    {"tenants": [customer("a", KEY, **{"rate-per-s": -1})]},
                    {"tenants": [customer("a", KEY, unit="bananas")]},
                    {"tenants": [customer("", KEY)]},
                )
            ):
                fleet.configure(version=2 + number, **fields)

            async def documents_rejected():
                return len(entry.events("document_unreadable")) == 4

            await wait_until(documents_rejected, "the documents are refused")
            self.assertEqual(await fleet.statuses(entry, 1, bearer(KEY)), [200])
            self.assertEqual(fleet.engine.runs[-1].headers["x-tenant"], "first")
            self.assertNotIn(KEY, entry.log.read_text())

    async def test_without_customers_no_key_is_required(self):
        async with CustomerFleet() as fleet:
            (entry,) = await fleet.begin(None)
            self.assertEqual(await fleet.statuses(entry, 1, bearer(KEY)), [200])
            run = fleet.engine.runs[-1]
            self.assertEqual(run.headers["authorization"], f"Bearer {KEY}")
            self.assertEqual(entry.events("quotas_in_force"), [])


class TestQuota(unittest.IsolatedAsyncioTestCase):
    """Guards against a quota that isn't enforced, or is enforced far too low.

    Without quotas a customer could run any number of calls. With its limit divided
    equally among the entries, it was refused far below the limit.
    """

    LIMIT = {"unit": "completion", "plain-tokens": 200}

    async def test_one_entry_may_spend_all_of_it_and_two_no_more(self):
        async with CustomerFleet() as fleet:
            limit = {**self.LIMIT, "rate-per-s": 500, "burst": 1500}
            entries = await fleet.begin([customer("first", KEY, **limit)], entries=2)

            async def allocated():
                return bool(fleet.agent_program.events("quota_allocator"))

            await wait_until(allocated, "an agent allocates quotas")
            # Wait until the token bucket is full.
            await asyncio.sleep(3.5)
            found = await fleet.statuses(entries[0], 12, bearer(KEY))
            self.assertEqual(found, [200] * 12)
            found_by_entry = await asyncio.gather(
                *[fleet.statuses(entry, 40, bearer(KEY), 0.02) for entry in entries]
            )
            statuses = [status for found in found_by_entry for status in found]
            self.assertIn(429, statuses)
            self.assertLessEqual(set(statuses), {200, 429})
            seconds = 40 * 0.02 + 3
            max_cost = 1500 + 500 * seconds
            self.assertLessEqual(len(fleet.engine.runs) * 100, max_cost)

    async def test_a_share_lasts_while_the_allocator_is_gone(self):
        async with CustomerFleet() as fleet:
            limit = {**self.LIMIT, "rate-per-s": 4000, "burst": 4000}
            (entry,) = await fleet.begin([customer("first", KEY, **limit)])

            async def has_share():
                status = await fleet.statuses(entry, 5, bearer(KEY), 0.05)
                metrics = await fleet.metrics(entry)
                share = metrics.get('bambootiller_quota_share{customer="first"}', 0)
                return status == [200] * 5 and share > 0.1

            await wait_until(has_share, "the entry holds a share")
            await fleet.agent_program.stop(9)
            found = await fleet.statuses(entry, 20, bearer(KEY), 0.1)
            self.assertEqual(found, [200] * 20)


class TestUnreachableAllocator(unittest.IsolatedAsyncioTestCase):
    """Guards against an allocator of quotas that no entry can reach.

    Entries connect only to the agents of registered engines. The allocator's engine had
    left the registry, but its agent kept the allocator's key. When all processes had
    ended and restarted, no call was served for eight seconds.
    """

    #: Well below the lease of the previous allocator. Seconds.
    RECOVERY_S = 6.0

    async def begin(self, fleet):
        limit = {"rate-per-s": 1000, "burst": 1000}
        (entry,) = await fleet.begin([customer("first", KEY, **limit)])
        self.other = await fleet.replica("127.0.0.3", "i-2", "llm", (MODEL,))
        agents = [fleet.agent_program, await fleet.agent("a2", self.other)]
        await wait_until(lambda: self.served(fleet, entry), "a call is served")
        (index,) = [
            number
            for number, agent in enumerate(agents)
            if agent.events("quota_allocator")
        ]
        # The engine of the allocator leaves the registry.
        engine = (fleet.engine, self.other)[index]
        fleet.store.remove(f"servers/{engine.instance}")
        return entry, agents[index], agents[1 - index], engine

    async def served(self, fleet, entry):
        return await fleet.statuses(entry, 1, bearer(KEY)) == [200]

    async def test_another_agent_takes_over(self):
        async with CustomerFleet() as fleet:
            entry, _, other, _ = await self.begin(fleet)

            async def took_over():
                return bool(other.events("quota_allocator"))

            await wait_until(took_over, "the other agent allocates", seconds=12.0)
            await wait_until(
                lambda: self.served(fleet, entry), "a call is served", seconds=3.0
            )

    async def test_calls_are_served_soon_after_its_process_restarts(self):
        async with CustomerFleet() as fleet:
            entry, allocator, _, engine = await self.begin(fleet)
            for program in (entry, allocator):
                await program.stop(signal.SIGKILL)
            await fleet.agent(allocator.document["node-name"], engine)
            entry = await fleet.entry("e0")
            await fleet.wait_ready(entry)
            await wait_until(
                lambda: self.served(fleet, entry),
                "a call is served again",
                seconds=self.RECOVERY_S,
            )


class TestQuotaUnderFailures(unittest.IsolatedAsyncioTestCase):
    """Guards against exceeding the quota's bound for a window under failures.

    The bound was exceeded when entries restarted, and when the allocator stalled and
    another agent took over.
    """

    WINDOW_S = 4.0
    COST, RATE, BURST, SLACK = 100, 1000, 1000, 500
    CALLERS, PAUSE_S = 3, 0.05

    async def generate_load(self, fleet, entry, number):
        """Send calls until cancelled, beyond the quota and whatever their outcome."""
        headers = {**bearer(KEY), "X-Token-Usage": f"{self.COST - 10},10"}
        count = 0
        while True:
            count += 1
            attempt = f"{entry.document['node-name']}-{number}-{count}"
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                await fleet.call(entry, MODEL, attempt=attempt, headers=headers)
            await asyncio.sleep(self.PAUSE_S)

    async def test_the_bound_holds_in_every_window(self):
        fleet = CustomerFleet()
        fleet.bounds = {
            "grace-s": 6,
            "quota-window-s": self.WINDOW_S,
            "quota-overage": 0.1,
            "quota-slack": self.SLACK,
        }
        async with fleet:
            limit = {"unit": "completion", "rate-per-s": self.RATE, "burst": self.BURST}
            entries = await fleet.begin([customer("first", KEY, **limit)], entries=2)
            other = await fleet.replica("127.0.0.3", "i-2", "llm", (MODEL,))
            agents = [fleet.agent_program, await fleet.agent("a2", other)]
            fleet.engine.runs = other.runs = runs = TimedRuns()
            callers = [
                asyncio.create_task(self.generate_load(fleet, entry, number))
                for entry in entries
                for number in range(self.CALLERS)
            ]
            await asyncio.sleep(5.0)
            for agent in agents:
                agent.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(2.5)
                agent.process.send_signal(signal.SIGCONT)
            await entries[1].stop(signal.SIGKILL)
            restarted = await fleet.entry("e1")
            await fleet.wait_ready(restarted)
            callers.append(asyncio.create_task(self.generate_load(fleet, restarted, 9)))
            await asyncio.sleep(5.0)
            for caller in callers:
                caller.cancel()
            nominal = self.RATE * self.WINDOW_S + self.BURST
            allowed = nominal * 1.1 + self.SLACK
            self.assertLessEqual(runs.max_in_window(self.WINDOW_S) * self.COST, allowed)
            # The quota is the limiting factor, not the load that is generated.
            self.assertGreater(
                runs.max_in_window(self.WINDOW_S) * self.COST, 0.6 * nominal
            )
