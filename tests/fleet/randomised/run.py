"""One seeded run: a fleet under load, faults, healing, and what must hold after it."""

import asyncio
import time
from dataclasses import dataclass

import aiohttp

from bambootiller_standins.load import (
    Caller,
    LoadPlan,
    LoadReport,
    Verdict,
    planned_requests,
    run_load,
)
from bambootiller_standins.testing import eventually
from tests.fleet.common import calls, faults
from tests.fleet.common.operators import CAPS, CUSTOMER, PUPIL_KEY, Operators
from tests.fleet.common.smallfleet import SmallFleet

RATE, CALLS_RATE = 8.0, 3.0
TIMEOUT_MS = 8_000
GRACE_SECONDS = 90.0
#: The load goes on for so long behind the last fault's begin.
AFTER_SECONDS = 4.0
HEALED_SECONDS = 90.0
#: A connection that can't be made is no broken promise; one that ends without an answer
#: is, unless its entry was killed.
NO_CONNECTION = ("ClientConnectorError", "ConnectionRefusedError")
#: A request leaves somewhat after its planned time when the machine is busy. Seconds.
LATE = 2.0
BROKEN = (Verdict.WRONG, Verdict.CUT, Verdict.UNFINISHED)


@dataclass(frozen=True, slots=True)
class RunResult:
    """What came of a run; without ``violations`` every promise was kept."""

    seed: int
    steps: int
    violations: tuple[str, ...]
    notes: tuple[str, ...]
    summary: str

    def __str__(self) -> str:
        again = f"python -m tests.fleet.randomised --seed {self.seed}"
        head = f"seed {self.seed}, replay: {again} --steps {self.steps}"
        schedule = [str(fault) for fault in faults.draw(self.seed, self.steps)]
        parts = [head, self.summary, "schedule:", *schedule, "what happened:"]
        return "\n".join([*parts, *self.notes, "violations:", *self.violations])


async def run(seed: int, steps: int) -> RunResult:
    """Make one run and judge it."""
    fleet = SmallFleet()
    summary = ""
    try:
        summary = await _Run(fleet, seed, steps).make()
    except* AssertionError as group:
        for exc in _leaves(group):
            fleet.violation(str(exc))
    finally:
        await fleet.stop()
    if fleet.violations:
        fleet.note(f"output is kept in {fleet.fleet.folder}")
    return RunResult(seed, steps, tuple(fleet.violations), tuple(fleet.notes), summary)


class _Run:
    def __init__(self, fleet: SmallFleet, seed: int, steps: int) -> None:
        self._fleet = fleet
        self._seed = seed
        self._schedule = faults.draw(seed, steps)

    async def make(self) -> str:
        """The run from start to end; returns its figures in a line."""
        await self._fleet.start()
        self._fleet.operators = Operators(self._fleet, self._seed)
        try:
            return await self._with_operators()
        finally:
            await self._fleet.operators.close()

    async def _with_operators(self) -> str:
        fleet = self._fleet
        async with fleet.watched():
            await self._put_in_force()
            for place in faults.ENTRIES:
                await self._all_answer(place)
        urls = {place: fleet.url(place) for place in faults.ENTRIES}
        clerks = calls.Clerks(urls, self._seed, CALLS_RATE)
        plan = self._plan(urls)
        began = time.monotonic()
        async with fleet.watched(), asyncio.TaskGroup() as group:
            load = group.create_task(run_load(plan))
            repeating = group.create_task(clerks.run())
            await faults.carry_out(fleet, self._schedule)
            await fleet.heal()
            fleet.note("healed")
            clerks.stop()
            await asyncio.wait([load, repeating])
            fleet.note("load ended")
            await self._check_healed(clerks)
        self._judge_load(plan, load.result(), began)
        self._judge_engines()
        return self._summary(load.result(), clerks)

    def _plan(self, urls: dict[str, str]) -> LoadPlan:
        seconds = self._schedule[-1].at + AFTER_SECONDS
        return LoadPlan(
            urls=tuple(urls[place] for place in faults.ENTRIES),
            models=tuple(CAPS),
            callers=(Caller("pupil", PUPIL_KEY),),
            customer=CUSTOMER,
            rate=RATE,
            count=int(seconds * RATE * 2),
            seconds=seconds,
            grace_seconds=GRACE_SECONDS,
            seed=self._seed,
            stream_share=0.6,
            timeout_ms=TIMEOUT_MS,
        )

    async def _put_in_force(self) -> None:
        """Put the first template in force; a run ends with the same one."""
        code, out = await self._fleet.operators.tool(CAPS, "--wait", "--timeout=60")
        if code != 0:
            self._fleet.violation(f"not in force everywhere, exit {code}: {out}")
        self._fleet.operators.accepted.setdefault(1, CAPS)

    async def _all_answer(self, place: str) -> None:
        async with aiohttp.ClientSession() as session:
            for model in CAPS:

                async def good(model=model) -> bool:
                    return await _answers(session, self._fleet.url(place), model)

                what = f"{model} answers through {place}"
                await eventually(good, what, HEALED_SECONDS)
                self._fleet.note(what)

    async def _check_healed(self, clerks: calls.Clerks) -> None:
        """Everything works again, and no call has run that was said not to."""
        fleet = self._fleet
        await fleet.operators.check_last()
        await self._put_in_force()
        fleet.note("in force everywhere")
        for place in faults.ENTRIES:
            await self._all_answer(place)
            await self._call_is_answered(clerks, place)
        fleet.note("calls are answered")
        await eventually(self._as_decided, "replicas as decided", HEALED_SECONDS)
        runs = await fleet.fleet.counts("certificates", "/control/runs")
        for text in calls.judge(clerks.attempts, runs):
            fleet.violation(text)
        for attempt in clerks.attempts:
            if not attempt.status:
                self._judge_silence(
                    attempt.entry, attempt.began, attempt.ended, attempt
                )

    async def _call_is_answered(self, clerks: calls.Clerks, place: str) -> None:
        async with aiohttp.ClientSession() as session:
            tries = iter(range(10_000))

            async def good() -> bool:
                key = f"last-{place}-{next(tries)}"
                found = await clerks.attempt(session, key, f"{key}/0", place)
                return found.status == 200

            await eventually(good, f"a call through {place}", HEALED_SECONDS)

    async def _as_decided(self) -> bool:
        """No model is on more engines than the template in force says."""
        counts = dict.fromkeys(CAPS, 0)
        for name, child in self._fleet.fleet.children.items():
            if name.startswith("e-") and child.running:
                state = await self._fleet.fleet.counts(name, "/state?after=0&wait_ms=0")
                for model in state["models"]:
                    counts[model["model"].split("/")[-1]] += 1
        return all(counts[model] <= cap for model, cap in CAPS.items())

    # Judging

    def _judge_load(self, plan: LoadPlan, report: LoadReport, began: float) -> None:
        planned = {req.number: req for req in planned_requests(plan)}
        places = dict(zip(plan.urls, faults.ENTRIES, strict=True))
        for outcome in report.outcomes:
            req = planned[outcome.number]
            sent = began + req.at
            if outcome.verdict in BROKEN:
                at = f"sent at {req.at:.2f} s to {places[req.url]}"
                self._fleet.violation(f"{outcome.verdict} {at}: {outcome}")
            if outcome.verdict is Verdict.FAILED:
                place = places[req.url]
                self._judge_silence(place, sent, sent + outcome.total, outcome)

    def _judge_silence(self, place: str, began: float, ended: float, what) -> None:
        """A connection without an answer is allowed only if its entry was killed.

        While an entry isn't there, a connection can't be made, which is allowed too. A
        planned stop must end no connection that has a request on it.
        """
        code = getattr(what, "code", "") or getattr(what, "error", "")
        for down in self._fleet.downs:
            there = ended + LATE < down.since or began > down.until
            allowed = not down.planned or code in NO_CONNECTION
            if down.place == place and not there and allowed:
                return
        self._fleet.violation(f"no answer from {place}, which wasn't killed: {what}")

    def _judge_engines(self) -> None:
        fleet = self._fleet
        for model in CAPS:
            most = fleet.fleet.most_replicas(f"{CUSTOMER}/{model}")
            highest = fleet.operators.highest(model)
            if most > highest:
                fleet.violation(f"{model}: {most} replicas at once, {highest} allowed")
        for engine in fleet.fleet.overcommitted():
            fleet.violation(f"engine {engine} was overcommitted")

    def _summary(self, report: LoadReport, clerks: calls.Clerks) -> str:
        done = sum("begin" in note for note in self._fleet.notes)
        form = report.form()
        answered = sum(attempt.status == 200 for attempt in clerks.attempts)
        no = sum(attempt.told_no for attempt in clerks.attempts)
        return (
            f"{done} faults, requests {dict(form['verdicts'])} {form['codes']}, "
            f"attempts {len(clerks.attempts)}: {answered} answered, {no} told no"
        )


def _leaves(group: BaseExceptionGroup) -> list[BaseException]:
    found = []
    for exc in group.exceptions:
        nested = isinstance(exc, BaseExceptionGroup)
        found += _leaves(exc) if nested else [exc]
    return found


async def _answers(session, url: str, model: str) -> bool:
    body = {"model": model, "prompt": "why?", "max_tokens": 4}
    headers = {
        "Authorization": f"Bearer {PUPIL_KEY}",
        "X-Request-Timeout-Ms": str(TIMEOUT_MS),
    }
    try:
        async with session.post(
            f"{url}/v1/completions", json=body, headers=headers
        ) as resp:
            return resp.status == 200
    except (aiohttp.ClientError, OSError):
        return False
