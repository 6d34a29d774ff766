"""Faults of the key-value service: lost answers, outage, limits."""

import asyncio

import aiohttp

from bambootiller_standins.keyvalue import KeyValueService
from bambootiller_standins.testing import StandInTestCase, encode


class KeyValueFaultTests(StandInTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.service = await self.started(KeyValueService())

    async def put(self, key):
        body = {"key": encode(key), "value": encode("x")}
        return await self.post(self.service.url + "/v3/kv/put", body)

    async def read(self, key):
        return await self.post(self.service.url + "/v3/kv/range", {"key": encode(key)})

    async def control(self, **order):
        return await self.post(self.service.url + "/control", order)

    async def test_a_write_whose_answer_is_lost_has_taken_effect(self):
        """
        Symptom: a writer can't tell whether its write succeeded.
        Sequence: the service commits, and the connection closes before the answer.
        Cause: ordered by ``lose_answers``, for one write.
        """
        await self.control(mode="lose_answers", count=1)
        with self.assertRaises(aiohttp.ClientError):
            await self.put("/a")
        self.assertIn("kvs", await self.read("/a"))
        await self.put("/b")
        counts = await self.get(self.service.url + "/control")
        self.assertEqual((counts["mode"], counts["lost_answers"]), ("up", 1))

    async def test_an_outage_closes_calls_and_cuts_watches_until_it_ends(self):
        """
        Symptom: every call fails, and an open watch ends in the middle.
        Sequence: a watch opens, the service goes down, a write comes.
        Cause: ordered by ``down``; nothing may take effect while it lasts.
        """
        body = {"create_request": {"key": encode("/a")}}
        url = self.service.url + "/v3/watch"
        async with self.session.post(url, json=body) as watch:
            await watch.content.readline()
            await self.control(mode="down")
            with self.assertRaises(aiohttp.ClientError):
                await asyncio.wait_for(watch.content.read(), 30)
        with self.assertRaises(aiohttp.ClientError):
            await self.put("/a")
        await self.control(mode="up")
        self.assertNotIn("kvs", await self.read("/a"))

    async def test_a_slow_service_answers_late_but_rightly(self):
        """
        Symptom: an answer doesn't come within its delay.
        Sequence: the service is made slow, and a write is given less time than that.
        Cause: ordered by ``slow``; the write hasn't begun when its writer gives up.
        """
        await self.control(mode="slow", delay_ms=60_000)
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(self.put("/a"), 0.05)
        await self.control(mode="up")
        self.assertNotIn("kvs", await self.read("/a"))

    async def test_calls_above_the_rate_are_refused_without_effect(self):
        """
        Symptom: a write is refused with status 429 and code 8.
        Sequence: more writes within a second than the service allows.
        Cause: the rate limit; a rate this low can't refill during the test.
        """
        service = await self.started(KeyValueService(writes_per_second=0.5))
        service._write_limit._tokens = 1
        url = service.url + "/v3/kv/put"
        body = {"key": encode("/a"), "value": encode("x")}
        await self.post(url, body)
        async with self.session.post(url, json=body) as response:
            self.assertEqual(response.status, 429)
            self.assertEqual((await response.json())["code"], 8)
        answer = await self.post(service.url + "/v3/kv/range", {"key": encode("/a")})
        self.assertEqual(answer["kvs"][0]["version"], "1")
