"""Running a load plan to its end."""

import asyncio

import aiohttp

from bambootiller_standins.load._client import send
from bambootiller_standins.load._outcome import Outcome, Verdict
from bambootiller_standins.load._plan import LoadPlan, PlannedRequest, planned_requests
from bambootiller_standins.load._report import LoadReport


async def run_load(plan: LoadPlan) -> LoadReport:
    """Sends the requests of *plan*, each at its time, and reports on all of them."""
    plan.check()
    loop = asyncio.get_running_loop()
    begun = loop.time()
    tasks: dict[asyncio.Task[Outcome], PlannedRequest] = {}
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=None)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        for req in planned_requests(plan):
            await asyncio.sleep(begun + req.at - loop.time())
            tasks[asyncio.create_task(send(session, plan, req))] = req
        if tasks:
            await asyncio.wait(tasks, timeout=plan.grace_seconds)
        outcomes = [await _outcome(task, req) for task, req in tasks.items()]
    return LoadReport(tuple(outcomes), loop.time() - begun, plan.seed)


async def _outcome(task: asyncio.Task[Outcome], req: PlannedRequest) -> Outcome:
    if task.done():
        return task.result()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    return Outcome(req.number, req.model, req.caller.name, Verdict.UNFINISHED)
