"""A trial on real processes: two entries, an agent and an engine a backend server."""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
from collections.abc import Sequence

import aiohttp

from bambootiller.kv.etcd import EtcdKeyValue
from bambootiller_core.backend_effects import engine_name
from bambootiller_core.types import ModelKey
from bambootiller_standins.agreement._engines import engine_config
from bambootiller_standins.agreement._figures import Answer, RunFigures, run_figures
from bambootiller_standins.agreement._sampler import Sampler
from bambootiller_standins.agreement._scenarios import (
    ANSWER_TOKENS,
    CALLER,
    LEAD_S,
    Trial,
)
from bambootiller_standins.engine import read_journal
from bambootiller_standins.experiments.arrivals import Arrival
from bambootiller_standins.experiments.records import Ending
from bambootiller_standins.experiments.world import World
from bambootiller_standins.harness import Fleet, PlatformOptions
from bambootiller_standins.load import Caller, LoadPlan, Outcome, Verdict
from bambootiller_standins.load._client import send
from bambootiller_standins.load._plan import PlannedRequest

KEY = "pupil-key"
SETTLE_S = 1.0
#: After the slots are placed: the settle time, and till everybody knows the tables.
QUIET_S = SETTLE_S + 2.0
PLACED_WITHIN_S = 30.0
#: A refusal counts as in time up to this long after the deadline: it still has to come
#: through processes on a machine that does other things.
GRACE_S = 0.25
#: How long answers may take that are due when the last request has left.
ENDS_WITHIN_S = 40.0


async def real_figures(
    trial: Trial, world: World, arrivals: Sequence[Arrival], seed: int
) -> RunFigures:
    """Run a trial with the arrivals of its run on virtual time."""
    options = PlatformOptions(
        weight_store=True,
        weight_store_full_speed=trial.sizes.full_speed_loads,
        env={"BAMBOOTILLER_SETTLE_SECONDS": f"{SETTLE_S:g}"},
    )
    async with Fleet(options) as fleet, aiohttp.ClientSession() as session:
        run = _Run(trial, world, fleet, session, random.Random(f"{seed}/entries"))
        await run.start(arrivals, seed)
        await run.put_in_force()
        return await run.measure(arrivals, seed)


def template_form(trial: Trial, world: World) -> dict[str, object]:
    """The world's template as an operator would write it."""
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    models = {
        facts.key.model: {
            "replicas": facts.policy.replicas,
            "memory_bytes": facts.policy.memory_bytes,
            "load_ms": facts.policy.load_ms,
            "max_running": facts.policy.max_running,
            "token_ms": facts.policy.token_ms,
        }
        for facts in world.models
    }
    return {
        "customer": trial.sizes.customer,
        "models": models,
        "callers": {CALLER: {"key_sha256": digest, "priority": 3}},
        "weights": {
            "cold_second": trial.sizes.cold_second,
            "idle_second": trial.sizes.idle_second,
        },
        "batch_share": trial.sizes.batch_share,
    }


class _Run:
    def __init__(
        self,
        trial: Trial,
        world: World,
        fleet: Fleet,
        session: aiohttp.ClientSession,
        rng: random.Random,
    ) -> None:
        self._trial = trial
        self._world = world
        self._fleet = fleet
        self._session = session
        self._rng = rng
        self._engines = {
            server.instance: f"engine-{server.instance}" for server in world.servers
        }
        self._entries = [f"entry-{n + 1}" for n in range(trial.sizes.entries)]

    async def start(self, arrivals: Sequence[Arrival], seed: int) -> None:
        """Start all processes."""
        fleet = self._fleet
        await asyncio.gather(
            *(
                fleet.start_engine(
                    self._engines[server.instance],
                    engine_config(self._world, server, arrivals, seed),
                )
                for server in self._world.servers
            )
        )
        await asyncio.gather(
            *(
                fleet.start_entry(name, zone=f"az-{index % 4 + 1}")
                for index, name in enumerate(self._entries)
            ),
            *(
                fleet.start_agent(
                    server.instance,
                    zone=server.zone,
                    engine=self._engines[server.instance],
                )
                for server in self._world.servers
            ),
        )

    async def put_in_force(self) -> None:
        """Apply the template, and wait until its slots are placed."""
        path = self._fleet.folder / "template.json"
        path.write_text(json.dumps(template_form(self._trial, self._world)))
        done = await self._fleet.run_tool(
            "template", "apply", str(path), "--reason", "agreement", "--wait"
        )
        if done.code:
            raise RuntimeError(f"template apply ended with {done.code}: {done.err}")
        kv = EtcdKeyValue((self._fleet.url("kv"),), None, None)
        try:
            async with asyncio.timeout(PLACED_WITHIN_S):
                for facts in self._world.models:
                    while not await _placed(kv, facts.key):
                        await asyncio.sleep(0.1)
        finally:
            await kv.close()
        await asyncio.sleep(QUIET_S)

    async def measure(self, arrivals: Sequence[Arrival], seed: int) -> RunFigures:
        """Send the requests, each at its time, and judge what became of them."""
        urls = {name: self._fleet.url(name) for name in self._engines.values()}
        sampler = Sampler(self._session, urls)
        watching = asyncio.create_task(sampler.run())
        loop = asyncio.get_running_loop()
        begun = loop.time() - LEAD_S
        sending = asyncio.create_task(self._send_all(arrivals, seed, begun, sampler))
        try:
            await asyncio.sleep(begun + self._trial.scenario.horizon_s - loop.time())
        finally:
            watching.cancel()
            await asyncio.gather(watching, return_exceptions=True)
        sampler.close(loop.time())
        loads = self._loads()
        answers = await sending
        return run_figures(
            answers,
            loads=loads,
            idle_s=sampler.idle_s,
            loaded_s=sampler.loaded_s,
            most_over_cap=self._most_over_cap(),
            broken=self._broken(answers),
        )

    async def _send_all(
        self, arrivals: Sequence[Arrival], seed: int, begun: float, sampler: Sampler
    ) -> list[Answer]:
        loop = asyncio.get_running_loop()
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=ENDS_WITHIN_S)
        tasks = []
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as http:
            for number, arrival in enumerate(arrivals):
                await asyncio.sleep(begun + arrival.at - loop.time())
                cold = not sampler.loaded(engine_name(arrival.key))
                entry = self._fleet.url(self._rng.choice(self._entries))
                one = _send(http, entry, number, arrival, cold, seed)
                tasks.append(asyncio.create_task(one))
            return list(await asyncio.gather(*tasks))

    def _loads(self) -> int:
        lines = [
            line
            for name in self._engines.values()
            for line in read_journal(self._fleet.folder / f"{name}.journal")
        ]
        return sum(line.entry == "held" for line in lines)

    def _most_over_cap(self) -> int:
        return max(
            0,
            *(
                self._fleet.most_replicas(engine_name(facts.key))
                - facts.policy.replicas
                for facts in self._world.models
            ),
        )

    def _broken(self, answers: Sequence[Answer]) -> list[str]:
        found = [f"{name} overcommitted" for name in self._fleet.overcommitted()]
        wrong = [answer for answer in answers if answer.code == Verdict.WRONG]
        return found + [f"{len(wrong)} wrong answers"] * bool(wrong)


async def _placed(kv: EtcdKeyValue, key: ModelKey) -> bool:
    found = await kv.get(f"/bambootiller/slots/{key.customer}/{key.model}")
    records = getattr(found, "records", ())
    if not records:
        return False
    return all(slot["holder"] for slot in json.loads(records[0].value)["slots"])


async def _send(
    http: aiohttp.ClientSession,
    url: str,
    number: int,
    arrival: Arrival,
    cold: bool,
    seed: int,
) -> Answer:
    caller = Caller(arrival.caller, KEY)
    plan = LoadPlan(
        urls=(url,),
        models=(arrival.key.model,),
        callers=(caller,),
        seed=seed,
        chat=False,
        max_tokens=ANSWER_TOKENS,
        customer=arrival.key.customer,
        timeout_ms=round(arrival.timeout_s * 1000),
    )
    req = PlannedRequest(
        number=number,
        at=arrival.at,
        url=url,
        model=arrival.key.model,
        caller=caller,
        prompt=f"question {arrival.prefix}",
        stream=True,
    )
    return judge(await send(http, plan, req), cold, arrival.timeout_s)


def judge(outcome: Outcome, cold: bool, timeout_s: float) -> Answer:
    """What became of a request, in the experiments' words."""
    in_time = outcome.total <= timeout_s + GRACE_S
    match outcome.verdict:
        case Verdict.ANSWERED:
            ending = Ending.ANSWERED if in_time else Ending.LATE
        case Verdict.REFUSED | Verdict.BROKEN_OFF:
            ending = Ending.REFUSED if in_time else Ending.LATE
        case _:
            ending = Ending.DROPPED
    code = outcome.code
    if outcome.verdict is Verdict.WRONG:
        code = Verdict.WRONG
    return Answer(cold, ending, outcome.first_token, code)
