"""A small fleet with a customer on it, for tests of what holds across processes."""

import asyncio
import hashlib
import json

import aiohttp

from bambootiller_standins.engine import EngineConfig
from bambootiller_standins.load import Caller, LoadPlan, Verdict, run_load
from bambootiller_standins.testing import FleetTestCase, eventually

KEY = "pupil-key"
PUPIL = Caller("pupil", KEY)
CUSTOMER = "forge"
GIB = 1024**3
ZONES = ("az-1", "az-2", "az-3", "az-4")
#: No order stays on its way for long on loopback; a real fleet waits longer.
QUICK = {"BAMBOOTILLER_SETTLE_SECONDS": "0.5", "BAMBOOTILLER_PROBE_INTERVAL_MS": "200"}
ENGINE = EngineConfig(
    memory_total=40 * GIB, load_ms={"memory": 200, "disk": 300, "remote": 600}
)
#: Verdicts that break a promise whatever the fault: an answer that is not the caller's
#: own or not whole, a stream without an end, a connection without an answer.
BROKEN = (Verdict.WRONG, Verdict.CUT, Verdict.UNFINISHED)


def template(models, **changes):
    """A template of the test customer; ``models`` maps names to replicas."""
    form = {
        "customer": CUSTOMER,
        "default_timeout_ms": 30_000,
        "models": {
            name: {"replicas": cap, "memory_bytes": 20 * GIB, "load_ms": 500}
            for name, cap in models.items()
        },
        "callers": {"pupil": {"key_sha256": hashlib.sha256(KEY.encode()).hexdigest()}},
    }
    form.update(changes)
    return form


class SystemTestCase(FleetTestCase):
    """Entries, agents with an engine each, and the operators' tool."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.http = await self.enterAsyncContext(aiohttp.ClientSession())
        self.entries = []
        self.agents = []

    async def start(self, *, entries=2, agents=2, links=(), engine=ENGINE, env=None):
        """Start entries ``n-1``.. and agents ``i-1``.. with engines ``e-1``.."""
        settings = QUICK | (env or {})
        engines = [f"e-{number + 1}" for number in range(agents)]
        await asyncio.gather(*(self.fleet.start_engine(one, engine) for one in engines))
        self.entries = [f"n-{number + 1}" for number in range(entries)]
        self.agents = [f"i-{number + 1}" for number in range(agents)]
        await asyncio.gather(
            *(
                self.fleet.start_entry(one, zone=ZONES[index % 4], env=settings)
                for index, one in enumerate(self.entries)
            ),
            *(
                self.fleet.start_agent(
                    one,
                    zone=ZONES[index % 4],
                    engine=engines[index],
                    env=settings,
                    links=links,
                )
                for index, one in enumerate(self.agents)
            ),
        )

    async def apply(self, form, *args, reason="test"):
        """Put a template in force with the operators' tool; returns its result."""
        path = self.fleet.folder / "template.json"
        path.write_text(json.dumps(form), encoding="utf-8")
        return await self.fleet.run_tool(
            "template", "apply", str(path), "--reason", reason, *args
        )

    async def apply_and_wait(self, form):
        """Put a template in force everywhere."""
        result = await self.apply(form, "--wait")
        self.assertEqual(result.code, 0, result.out + result.err)

    async def table(self, model):
        """The slot table that the key-value service holds, as plain JSON."""
        key = f"/bambootiller/slots/{CUSTOMER}/{model}"
        return await self.value(key)

    async def value(self, key):
        """A key's JSON value in the key-value service, or None."""
        from bambootiller.kv.etcd import EtcdKeyValue

        kv = EtcdKeyValue((self.fleet.url("kv"),), None, None)
        try:
            found = await kv.get(key)
            records = getattr(found, "records", ())
            return json.loads(records[0].value) if records else None
        finally:
            await kv.close()

    async def holders(self, model):
        """Who holds the model's slots."""
        table = await self.table(model)
        if table is None:
            return []
        return [slot["holder"] for slot in table["slots"] if slot["holder"]]

    async def placed(self, model, count):
        """Wait until ``count`` slots of the model have a holder; returns them."""

        async def enough():
            held = await self.holders(model)
            return held if len(held) == count else None

        return await eventually(enough, f"{count} slots of {model} are placed")

    async def ask(self, model, entry="n-1", timeout_ms=20_000):
        """One plain answer: status and JSON body."""
        url = f"{self.fleet.url(entry)}/v1/completions"
        headers = {
            "Authorization": f"Bearer {KEY}",
            "X-Request-Timeout-Ms": str(timeout_ms),
        }
        body = {"model": model, "prompt": "why?", "max_tokens": 8}
        async with self.http.post(url, json=body, headers=headers) as resp:
            return resp.status, await resp.json(content_type=None)

    async def answered(self, model, entry="n-1"):
        """Wait until the model answers through an entry."""

        async def good():
            return (await self.ask(model, entry))[0] == 200

        await eventually(good, f"{model} answers through {entry}")

    def load(self, models, *, entries=None, **changes):
        """A run of the load tool against the entries, as a task."""
        urls = tuple(self.fleet.url(one) for one in entries or self.entries)
        options = {"rate": 20, "count": 100, "timeout_ms": 20_000, "seed": 7}
        plan = LoadPlan(
            urls=urls,
            models=tuple(models),
            callers=(PUPIL,),
            customer=CUSTOMER,
            **(options | changes),
        )
        return asyncio.create_task(run_load(plan))

    def assert_promises(self, report, models, caps):
        """What holds whatever happened: own whole answers, caps, memory."""
        form = report.form()
        for verdict in BROKEN:
            self.assertEqual(report.count(verdict), 0, form)
        self.assert_capacity(models, caps)

    def assert_capacity(self, models, caps):
        """No model was on more engines than its cap, no engine was overcommitted."""
        for model, cap in zip(models, caps, strict=True):
            most = self.fleet.most_replicas(f"{CUSTOMER}/{model}")
            self.assertLessEqual(most, cap, model)
        self.assertEqual(self.fleet.overcommitted(), [])
