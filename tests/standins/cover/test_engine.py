"""The engine: orders, answers, batching, load report, cache events."""

import asyncio
import json

from bambootiller_standins.engine import (
    Engine,
    EngineConfig,
    ModelConfig,
    chat_prompt,
    expected_answer,
    prefix_of,
)
from bambootiller_standins.testing import StandInTestCase, eventually

CHAT = [{"role": "user", "content": "why does it not build?"}]


class EngineTestCase(StandInTestCase):
    async def engine_of(self, **settings):
        times = {"memory": 1, "disk": 2, "remote": 3}
        cfg = EngineConfig.model_validate({"load_ms": times} | settings)
        self.engine = await self.started(Engine(cfg))
        return self.engine

    async def order(self, order_id, kind="load", model="tutor", **fields):
        body = {"order_id": order_id, "kind": kind, "model": model, "fence": 1}
        url = self.engine.url + "/orders"
        async with self.session.post(url, json=body | fields) as response:
            return response.status, (await response.json())["code"]

    async def state(self):
        return await self.get(self.engine.url + "/state")

    async def settled(self, order_id):
        async def status():
            found = (await self.state())["orders"].get(order_id)
            return found if found in ("done", "failed") else None

        return await eventually(status, f"order {order_id} is settled")

    async def loaded(self, model="tutor", **fields):
        fields = {"memory_bytes": 10} | fields
        self.assertEqual(
            (await self.order("load-" + model, model=model, **fields))[0], 202
        )
        self.assertEqual(await self.settled("load-" + model), "done")

    async def ask(self, request_id="r", priority=5, **body):
        body = {"model": "tutor", "prompt": "hello", "max_tokens": 4} | body
        headers = {"X-Request-Id": request_id, "X-Priority": str(priority)}
        url = self.engine.url + "/v1/completions"
        response = await self.session.post(url, json=body, headers=headers)
        self.addCleanup(response.close)
        return response


class OrderTests(EngineTestCase):
    async def test_a_load_takes_memory_and_an_unload_gives_it_back(self):
        await self.engine_of(memory_total=100)
        await self.loaded(memory_bytes=60)
        state = await self.state()
        (model,) = state["models"]
        self.assertEqual((model["phase"], model["memory_bytes"]), ("loaded", 60))
        self.assertEqual(state["memory_used"], 60)
        await self.order("u", kind="unload")
        self.assertEqual(await self.settled("u"), "done")
        state = await self.state()
        self.assertEqual((state["models"], state["memory_used"]), ([], 0))

    async def test_a_repeated_order_has_no_effect(self):
        await self.engine_of()
        await self.loaded()
        await self.order("u", kind="unload")
        await self.settled("u")
        await self.order("load-tutor", memory_bytes=10)
        self.assertEqual((await self.state())["models"], [])
        self.assertEqual(self.engine.orders.counts.loads, 1)

    async def test_an_unknown_model_is_refused(self):
        await self.engine_of(models={"tutor": {}})
        self.assertEqual(await self.order("a", model="x"), (409, "unknown_model"))

    async def test_a_fencing_engine_refuses_an_old_fence(self):
        await self.engine_of(fencing=True)
        await self.loaded(fence=5)
        self.assertEqual(await self.order("u", "unload", fence=4), (409, "stale_fence"))
        self.assertEqual((await self.state())["models"][0]["fence"], 5)

    async def test_an_engine_without_fencing_obeys_an_old_fence(self):
        await self.engine_of(fencing=False)
        await self.loaded(fence=5)
        self.assertEqual((await self.order("u", "unload", fence=4))[0], 202)
        self.assertEqual(await self.settled("u"), "done")
        self.assertEqual(self.engine.orders.counts.stale_obeyed, 1)

    async def test_an_overcommitment_is_recorded_unless_it_is_refused(self):
        await self.engine_of(memory_total=100)
        await self.loaded("a", memory_bytes=60)
        self.assertFalse((await self.state())["overcommitted"])
        await self.loaded("b", memory_bytes=60)
        self.assertTrue((await self.state())["overcommitted"])
        await self.engine_of(memory_total=100, refuse_no_memory=True)
        await self.loaded("a", memory_bytes=60)
        refused = await self.order("b", model="b", memory_bytes=60)
        self.assertEqual(refused, (507, "no_memory"))
        self.assertFalse((await self.state())["overcommitted"])

    async def test_an_adapter_is_answered_for_only_once_it_is_loaded(self):
        await self.engine_of()
        await self.loaded()
        self.assertEqual((await self.ask(model="tutor:ada")).status, 404)
        await self.order("a", kind="load_adapter", adapter="ada", memory_bytes=3)
        self.assertEqual(await self.settled("a"), "done")
        self.assertEqual((await self.state())["memory_used"], 13)
        body = await (await self.ask(model="tutor:ada")).json()
        expected = expected_answer("tutor", "ada", "hello", 4)
        self.assertEqual(body["choices"][0]["text"], expected)

    async def test_a_prefetch_brings_a_checkpoint_one_tier_nearer(self):
        await self.engine_of(models={"tutor": ModelConfig(tier="remote")})
        for order_id, tier in (("a", "disk"), ("b", "memory")):
            await self.order(order_id, kind="prefetch")
            await self.settled(order_id)
            self.assertEqual((await self.state())["tiers"]["tutor"], tier)

    async def test_a_waiting_reader_learns_of_a_change(self):
        await self.engine_of()
        version = (await self.state())["version"]
        url = f"{self.engine.url}/state?after={version}&wait_ms=60000"
        waiting = asyncio.create_task(self.get(url))
        await self.order("a", memory_bytes=1)
        state = await asyncio.wait_for(waiting, 30)
        self.assertGreater(state["version"], version)


class AnswerTests(EngineTestCase):
    async def test_each_caller_gets_its_own_whole_answer(self):
        await self.engine_of(max_batch=3)
        await self.loaded()
        prompts = [f"question {number}" for number in range(12)]
        responses = await asyncio.gather(*(self.ask(prompt=one) for one in prompts))
        for prompt, response in zip(prompts, responses, strict=True):
            text = (await response.json())["choices"][0]["text"]
            self.assertEqual(text, expected_answer("tutor", "", prompt, 4))

    async def test_a_chat_streams_its_tokens_and_then_its_end(self):
        await self.engine_of()
        await self.loaded()
        body = {"model": "tutor", "messages": CHAT, "max_tokens": 3, "stream": True}
        url = self.engine.url + "/v1/chat/completions"
        async with self.session.post(url, json=body) as response:
            lines = (await response.text()).split("\n\n")
        self.assertEqual(lines[-2:], ["data: [DONE]", ""])
        chunks = [json.loads(line.removeprefix("data: ")) for line in lines[:-2]]
        text = "".join(chunk["choices"][0]["delta"]["content"] for chunk in chunks)
        self.assertEqual(text, expected_answer("tutor", "", chat_prompt(CHAT), 3))
        self.assertEqual(chunks[-1]["choices"][0]["finish_reason"], "length")

    async def test_a_resumed_answer_goes_on_behind_what_was_produced(self):
        await self.engine_of()
        await self.loaded()
        start = expected_answer("tutor", "", "hello", 3)
        resume = {"text": start, "tokens": 3}
        body = await (await self.ask(max_tokens=8, continue_from=resume)).json()
        rest = body["choices"][0]["text"]
        self.assertEqual(start + rest, expected_answer("tutor", "", "hello", 8))
        resume["text"] = expected_answer("tutor", "", "another", 3)
        self.assertEqual((await self.ask(continue_from=resume)).status, 400)

    async def test_the_most_urgent_of_the_waiting_runs_first(self):
        await self.engine_of(max_batch=1, token_ms=20)
        await self.loaded()
        await self.ask("first", max_tokens=1_000_000, stream=True)
        for name, priority in (("late", 9), ("urgent", 0)):
            task = asyncio.create_task(self.ask(name, priority, stream=True))
            self.addCleanup(task.cancel)
        batch = self.engine.state.replicas["tutor"].batch
        await eventually(lambda: batch.waiting == 2, "both wait")
        batch.remove(batch.running[0])
        await eventually(lambda: batch.running, "the next one runs")
        self.assertEqual(batch.running[0].request_id, "urgent")

    async def test_a_model_that_is_not_loaded_does_not_answer(self):
        await self.engine_of()
        response = await self.ask()
        self.assertEqual(response.status, 404)
        self.assertEqual((await response.json())["error"]["code"], "model_not_loaded")


class ReportTests(EngineTestCase):
    async def test_the_load_report_shows_running_and_waiting_requests(self):
        await self.engine_of(max_batch=1, report_every_ms=5, report_lag_ms=5)
        await self.loaded()
        for name in ("a", "b"):
            task = asyncio.create_task(self.ask(name, max_tokens=100_000))
            self.addCleanup(task.cancel)

        async def shown():
            model = (await self.state())["models"][0]
            return (model["running"], model["waiting"]) == (1, 1)

        await eventually(shown, "one runs and one waits")

    async def test_an_exported_prefix_can_be_imported_elsewhere(self):
        first = await self.engine_of()
        await self.loaded()
        await (await self.ask()).read()
        name = {"model": "tutor", "prefix": prefix_of("tutor", "", "hello")}
        blob = await self.post(first.url + "/kv/export", name)
        second = await self.engine_of()
        self.assertFalse(second.cache.holds(**name))
        await self.post(second.url + "/kv/import", blob)
        self.assertTrue(second.cache.holds(**name))

    async def test_cache_events_come_with_gaps_in_their_numbers(self):
        await self.engine_of(event_lag_ms=1, event_gap_every=2)
        await self.loaded()
        for prompt in ("a", "b", "c"):
            await (await self.ask(prompt=prompt)).read()

        async def two():
            found = await self.get(self.engine.url + "/events?after=0")
            return found["events"] if len(found["events"]) == 2 else None

        events = await eventually(two, "two of three events")
        self.assertEqual([event["seq"] for event in events], [1, 3])
        self.assertEqual({event["event"] for event in events}, {"stored"})
