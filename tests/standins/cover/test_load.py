"""The load tool against an engine, which has the same calls as an entry."""

import json

from aiohttp import web

from bambootiller_standins._server import StandIn
from bambootiller_standins.engine import Engine, EngineConfig
from bambootiller_standins.load import LoadPlan, Verdict, planned_requests, run_load
from bambootiller_standins.testing import StandInTestCase, eventually

PROBLEM = {"code": "no_capacity", "executed": "no"}


class _Fixed(StandIn):
    """Answers every request alike."""

    def __init__(self, status, body):
        super().__init__()
        self._status = status
        self._body = body

    def routes(self):
        return [web.post("/{path:.*}", self._answer)]

    async def _answer(self, request):
        return web.Response(status=self._status, body=self._body)


class LoadTests(StandInTestCase):
    async def run_against(self, url, **fields):
        plan = LoadPlan(urls=(url,), models=("m",), rate=500, count=40, **fields)
        return await run_load(plan)

    async def test_the_same_seed_plans_the_same_requests(self):
        plan = LoadPlan(urls=("u", "v"), models=("m", "n"), seed=7)
        self.assertEqual(list(planned_requests(plan)), list(planned_requests(plan)))
        other = LoadPlan(urls=("u", "v"), models=("m", "n"), seed=8)
        self.assertNotEqual(list(planned_requests(plan)), list(planned_requests(other)))

    async def test_right_answers_streamed_and_whole_are_counted_as_answered(self):
        engine = await self.started(Engine(EngineConfig(token_ms=0, prefill_ms=0)))
        body = {"order_id": "l", "kind": "load", "model": "m", "memory_bytes": 1}
        await self.post(engine.url + "/orders", body)
        await eventually(lambda: engine.state.orders["l"] == "done")
        for chat in (True, False):
            report = await self.run_against(engine.url, chat=chat, stream_share=0.5)
            self.assertEqual(report.count(Verdict.ANSWERED), 40, report.form())
            self.assertEqual(report.form()["first_token_ms"]["count"], 40)

    async def test_refusals_are_counted_by_code(self):
        entry = await self.started(_Fixed(503, json.dumps(PROBLEM).encode()))
        report = await self.run_against(entry.url)
        self.assertEqual(report.form()["codes"], {"refused:no_capacity": 40})

    async def test_a_stream_without_an_end_is_cut_and_another_text_is_wrong(self):
        chunk = b'data: {"choices": [{"delta": {"content": "x"}}]}\n\n'
        for body, verdict in (
            (chunk, Verdict.CUT),
            (chunk + b"data: [DONE]\n\n", Verdict.WRONG),
            (chunk + b'event: error\ndata: {"code": "c"}\n\n', Verdict.BROKEN_OFF),
        ):
            with self.subTest(verdict=verdict):
                entry = await self.started(_Fixed(200, body))
                report = await self.run_against(entry.url)
                self.assertEqual(report.count(verdict), 40, report.form())
