"""Whole answers, streamed and not, of models and of plain services."""

import json
import unittest

from tests.entry.common.bench import CLERK_KEY, EntryTestCase


class TestModelAnswers(EntryTestCase):
    async def test_an_answer_comes_whole_with_its_usage(self):
        status, answer = await self.chat()
        self.assertEqual(status, 200)
        choice = answer["choices"][0]
        self.assertEqual(choice["message"]["content"], "Hello, pupil")
        self.assertEqual(choice["finish_reason"], "stop")
        self.assertEqual(answer["usage"]["completion_tokens"], 3)

    async def test_a_stream_has_the_same_text_and_ends_with_the_end_mark(self):
        text, events = await self.stream(stream_options={"include_usage": True})
        self.assertEqual(text, "Hello, pupil")
        self.assertEqual(events[-1], "data: [DONE]")
        usage = json.loads(events[-2].removeprefix("data: "))["usage"]
        self.assertEqual(usage["completion_tokens"], 3)
        self.assertIn('"role":"assistant"', events[0])

    async def test_text_with_quotes_and_other_scripts_is_escaped_rightly(self):
        texts = ['say "x"\n', "Khouribga خريبكة", "\u0000text\u0000", "🚚"]

        async def script(stream):
            await stream.text(*texts)
            await stream.done()

        self.scripts(script)
        text, _ = await self.stream()
        self.assertEqual(text, "".join(texts))

    async def test_the_agent_gets_what_the_decision_rests_on(self):
        await self.chat(
            headers={"X-Request-Timeout-Ms": "5000", "X-Request-Id": "lesson-4"},
            model="tutor:java",
            max_tokens=17,
        )
        (request,) = self.requests
        self.assertTrue(request.request_id.startswith("lesson-4~"))
        self.assertEqual(
            (request.model.model, request.model.adapter), ("tutor", "java")
        )
        self.assertEqual(request.model.max_tokens, 17)
        self.assertEqual((request.customer, request.caller), ("forge", "pupil"))
        self.assertEqual((request.template_revision, request.slots_revision), (5, 7))
        self.assertEqual(request.priority, 1)
        self.assertLessEqual(request.timeout_ms, 5000)

    async def test_requests_with_one_name_are_kept_apart_inside(self):
        await self.chat(headers={"X-Request-Id": "1"})
        await self.chat(headers={"X-Request-Id": "1"})
        first, second = [item.request_id for item in self.requests]
        self.assertNotEqual(first, second)

    async def test_the_list_of_models_shows_the_callers_own_customer_only(self):
        _, _, body = await self.call("GET", "/v1/models")
        self.assertEqual(
            [item["id"] for item in json.loads(body)["data"]], ["tutor", "tutor:java"]
        )
        _, _, body = await self.call("GET", "/v1/models", key=CLERK_KEY)
        self.assertEqual([item["id"] for item in json.loads(body)["data"]], ["assay"])

    async def test_a_request_is_explained_by_the_name_that_the_caller_gave_it(self):
        await self.chat(headers={"X-Request-Id": "lesson-5"})
        kinds = [item.kind for item in self.app.decisions.about("request/lesson-5")]
        self.assertEqual(kinds, ["arrival", "routing", "admission", "end"])


class TestServiceAnswers(EntryTestCase):
    async def test_status_headers_and_body_pass_through(self):
        async def script(stream):
            await stream.head(201, **{"content-type": "text/plain", "x-mark": "7"})
            await stream.data(b"half ", b"and half")
            await stream.done()

        self.scripts(script)
        status, headers, body = await self.call(
            "PUT", "/services/push/a%20b/c?d=e%2Ff", data=b"work"
        )
        self.assertEqual((status, body), (201, b"half and half"))
        self.assertEqual(headers["X-Mark"], "7")
        call = self.requests[0].service
        self.assertEqual((call.service, call.method), ("push", "PUT"))
        self.assertEqual((call.path, call.body), ("/a%20b/c?d=e%2Ff", b"work"))
        names = {item.name for item in call.headers}
        self.assertNotIn("authorization", names)

    async def test_an_answer_without_a_body_or_a_type_gets_none(self):
        async def script(stream):
            await stream.head(204)
            await stream.done()

        self.scripts(script)
        for method in ("DELETE", "HEAD"):
            status, headers, body = await self.call(method, "/services/push/old")
            self.assertEqual((status, body), (204, b""))
            self.assertNotIn("Content-Type", headers)

    async def test_a_long_answer_is_passed_on_whole(self):
        parts = [bytes([number]) * 50_000 for number in range(20)]

        async def script(stream):
            await stream.head()
            await stream.data(*parts)
            await stream.done()

        self.scripts(script)
        status, _, body = await self.call("GET", "/services/push/archive")
        self.assertEqual((status, body), (200, b"".join(parts)))

    async def test_an_agent_without_the_service_is_passed_over_and_remembered(self):
        async def absent(stream):
            await stream.refused("unknown_service")

        async def present(stream):
            await stream.head()
            await stream.data(b"here")
            await stream.done()

        for agent in self.agents[:2]:
            agent.script = absent
        self.agents[2].script = present
        for _ in range(3):
            status, _, body = await self.call("GET", "/services/push/list")
            self.assertEqual((status, body), (200, b"here"))
        self.assertEqual(len(self.agents[2].requests), 3)
        self.assertLessEqual(len(self.requests), 5)


if __name__ == "__main__":
    unittest.main()
