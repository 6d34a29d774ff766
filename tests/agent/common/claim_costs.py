"""What claims cost the key-value service: ``python -m tests.agent.common.claim_costs``.

Non-idempotent calls arrive at one agent at a steady rate, in process, against a
key-value service with a delay. The program prints the writes and reads per call.
"""

import asyncio
import unittest

from tests.agent.common.bench import AgentTestCase, certificate, kinds

CALLS = 300
DELAY_MS = 5


class ClaimCosts(AgentTestCase):
    """One run for each rate; the figures are printed, none is asserted."""

    async def run_at(self, rate):
        agent = await self.agent(f"i-{rate}")
        counts = {"writes": 0, "reads": 0}
        transact, get = agent.app.kv.transact, agent.app.kv.get

        async def counted_transact(compares, writes):
            counts["writes"] += 1
            return await transact(compares, writes)

        async def counted_get(key):
            counts["reads"] += 1
            return await get(key)

        agent.app.kv.transact, agent.app.kv.get = counted_transact, counted_get
        self.kv.faults.set_mode("slow", delay_ms=DELAY_MS)
        calls = []
        for number in range(CALLS):
            name = f"{rate}-{number}"
            calls.append(asyncio.create_task(agent.serve(certificate(name, name))))
            await asyncio.sleep(1 / rate)
        ended = [kinds(events)[-1] for events in await asyncio.gather(*calls)]
        await agent.role._keeper.wait_idle(agent.app.now() + 5)
        self.kv.faults.set_mode("up")
        done = ended.count("done")
        print(
            f"{rate} calls/s offered, {done} of {CALLS} answered: "
            f"{counts['writes'] / CALLS:.2f} writes and "
            f"{counts['reads'] / CALLS:.2f} reads a call"
        )

    async def test_costs(self):
        for rate in (5, 50, 200):
            await self.run_at(rate)


if __name__ == "__main__":
    unittest.main()
