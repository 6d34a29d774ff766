"""Non-idempotent calls through an entry, while agents' processes are killed, paused and
stopped."""

import asyncio
import hashlib
import json
import unittest

import aiohttp

from bambootiller.exits import ProcessExit
from bambootiller.kv.etcd import EtcdKeyValue
from bambootiller_core.claims import CLAIMS_PREFIX, ClaimState, decode_claim
from bambootiller_core.ports import Committed, Put
from bambootiller_standins.harness import ProcessFailed
from bambootiller_standins.testing import FleetTestCase, eventually
from tests.agent.common.bench import TEMPLATE_KEY

KEY = "clerk-key"
AGENTS = ("i-1", "i-2")
TIMEOUT_MS = 25_000


def template():
    form = {
        "customer": "regie",
        "version": 1,
        "services": {"certificates": {"non_idempotent": ["/issue"]}},
        "callers": {"clerk": {"key_sha256": hashlib.sha256(KEY.encode()).hexdigest()}},
    }
    return json.dumps(form).encode()


class TestProcesses(FleetTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.http = await self.enterAsyncContext(aiohttp.ClientSession())
        await self.fleet.start_service("certificates", after_ms=1500)
        self.kv = EtcdKeyValue((self.fleet.url("kv"),), None, None)
        self.addAsyncCleanup(self.kv.close)
        key = TEMPLATE_KEY.replace("forge", "regie")
        outcome = await self.kv.transact([], [Put(key, template())])
        self.assertIsInstance(outcome, Committed)
        starts = [
            self.fleet.start_agent(name, zone="az-1", services=["certificates"])
            for name in AGENTS
        ]
        await asyncio.gather(*starts, self.fleet.start_entry("n-1", zone="az-1"))
        await eventually(self.is_ready, "the entry knows the template and an agent")

    async def is_ready(self):
        status, _, _ = await self.issue("warm-up", path="/lots")
        return status == 200

    async def issue(self, key, path="/issue"):
        """One call by the clerk: status, body, and whether it is the first answer."""
        url = f"{self.fleet.url('n-1')}/services/certificates{path}"
        headers = {
            "Authorization": f"Bearer {KEY}",
            "Idempotency-Key": key,
            "X-Request-Timeout-Ms": str(TIMEOUT_MS),
        }
        async with self.http.post(url, data=b"lot 7", headers=headers) as resp:
            replayed = "X-Bambootiller-Replayed" in resp.headers
            return resp.status, json.loads(await resp.read()), replayed

    async def claim(self):
        found = await self.kv.get_prefix(CLAIMS_PREFIX)
        return decode_claim(found.records[0].value) if found.records else None

    async def running(self):
        """The agent that runs the call, once the call has reached the service."""
        await eventually(self.runs, "the call runs")
        return (await self.claim()).holder

    async def runs(self):
        runs = await self.fleet.counts("certificates", "/control/runs")
        return runs.get("k-1", 0)

    async def test_a_killed_agent_leaves_no_second_certificate(self):
        """Symptom: two certificates for one lot.

        Sequence: an agent is killed (SIGKILL) while the service issues a certificate;
        the entry loses the connection, and the clerk asks again. Cause: the system
        takes a broken connection for a call that hasn't run, and runs it elsewhere.
        """
        call = asyncio.create_task(self.issue("k-1"))
        holder = await self.running()
        await self.fleet.kill(holder)
        await self.fleet.delist(holder)
        status, problem, _ = await call
        self.assertEqual((status, problem.get("executed")), (409, "unknown"))
        status, problem, _ = await self.issue("k-1")
        self.assertEqual((status, problem.get("executed")), (409, "unknown"))
        self.assertEqual(await self.runs(), 1)

    async def test_a_paused_agent_still_holds_its_claim_when_it_wakes(self):
        """Symptom: as above.

        Sequence: an agent is paused (SIGSTOP) while it runs the call, for longer than
        peers take to call it dead; the clerk asks again; the agent wakes and goes on.
        Cause: the claim was bound to a lease, or to a belief that its holder is dead.
        """
        call = asyncio.create_task(self.issue("k-1"))
        holder = await self.running()
        self.fleet.pause(holder)
        repeat = asyncio.create_task(self.issue("k-1"))
        await asyncio.sleep(4)
        self.fleet.resume(holder)
        await eventually(self.done, "the answer is kept")
        for status, body, _ in await asyncio.gather(call, repeat):
            # Each was answered, or told that it can't be known.
            if status != 200:
                self.assertEqual(body["executed"], "unknown", body)
        status, body, replayed = await self.issue("k-1")
        self.assertEqual((status, body["run"], replayed), (200, 1, True))
        self.assertEqual(await self.runs(), 1)

    async def done(self):
        claim = await self.claim()
        return claim is not None and claim.state is ClaimState.DONE

    async def test_a_planned_stop_during_a_run_cuts_nothing(self):
        """Symptom: a clerk's certificate is cut by a deployment.

        Sequence: an agent is asked to stop (SIGTERM) while a call runs. Cause: the
        process ends its connections before its calls have ended.
        """
        call = asyncio.create_task(self.issue("k-1"))
        holder = await self.running()
        self.assertEqual(await self.fleet.terminate(holder), 0)
        status, body, replayed = await call
        self.assertEqual((status, body["run"], replayed), (200, 1, False))

    async def test_a_second_agent_beside_a_backend_server_stops(self):
        """Symptom: two agents give orders to one engine.

        Sequence: the first agent is paused, and a second is started beside it. Cause:
        see the guard port.
        """
        self.fleet.pause("i-1")
        with self.assertRaises(ProcessFailed) as caught:
            await self.fleet.start_agent(
                "i-3", zone="az-1", services=["certificates"], beside="i-1"
            )
        self.assertIn("--guard-port", str(caught.exception))
        second = self.fleet.children["i-3"]
        await eventually(lambda: second.returncode is not None, "it ends")
        self.assertEqual(second.returncode, ProcessExit.PORT_TAKEN)


if __name__ == "__main__":
    unittest.main()
