"""Callers of a non-idempotent service who repeat each call at another entry.

Each attempt has a name of its own, under which the service stand-in counts its runs. So
it shows which attempt of a key has run, and whether one did that was told "no".
"""

import asyncio
import json
import random
from dataclasses import dataclass

import aiohttp

KEY = "clerk-key"
#: The service stand-in counts by this header if it is there; the system only passes it
#: on, and knows a call by its Idempotency-Key.
COUNTED_BY = "X-Idempotency"
MOST_REPEATS = 3
TIMEOUT_MS = 8_000
#: An entry that is paused answers late; one that never does has left its caller alone.
PATIENCE_SECONDS = 90.0


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt's end: an answer with a body, a problem, or a broken connection.

    ``status`` is 0 without an answer. Times are those of the loop.
    """

    key: str
    name: str
    entry: str
    began: float
    ended: float
    status: int
    body: dict
    error: str = ""

    @property
    def told_no(self) -> bool:
        """Whether the caller was told that this attempt hasn't run and won't."""
        return self.status != 200 and self.body.get("executed") == "no"


class Clerks:
    """Sends calls until told to stop; then ``attempts`` has the end of each."""

    def __init__(self, urls: dict[str, str], seed: int, rate: float) -> None:
        self.attempts: list[Attempt] = []
        self._urls = urls
        self._rate = rate
        self._seed = seed
        self._rng = random.Random(f"calls {seed}")
        self._stopping = False

    def stop(self) -> None:
        """Begin no further call."""
        self._stopping = True

    async def run(self) -> None:
        """Send calls; ends when all that were begun have ended."""
        limit = aiohttp.TCPConnector(limit=0, force_close=True)
        total = aiohttp.ClientTimeout(total=PATIENCE_SECONDS)
        async with (
            aiohttp.ClientSession(connector=limit, timeout=total) as session,
            asyncio.TaskGroup() as group,
        ):
            number = 0
            while not self._stopping:
                number += 1
                rng = random.Random(f"call {self._seed} {number}")
                group.create_task(self._call(session, f"k-{number}", rng))
                await asyncio.sleep(self._rng.expovariate(self._rate))

    async def _call(self, session, key: str, rng: random.Random) -> None:
        """One call and its repeats, which overlap it or come after its end."""
        async with asyncio.TaskGroup() as group:
            for number in range(1 + rng.randrange(MOST_REPEATS + 1)):
                entry = rng.choice(sorted(self._urls))
                name = f"{key}/{number}"
                attempt = group.create_task(self.attempt(session, key, name, entry))
                await asyncio.sleep(rng.uniform(0.0, 1.5))
                if rng.random() < 0.5:
                    await asyncio.wait([attempt])

    async def attempt(self, session, key: str, name: str, entry: str) -> Attempt:
        """Send one attempt and keep its end."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        headers = {
            "Authorization": f"Bearer {KEY}",
            "Idempotency-Key": key,
            COUNTED_BY: name,
            "X-Request-Id": name.replace("/", "."),
            "X-Request-Timeout-Ms": str(TIMEOUT_MS),
        }
        url = f"{self._urls[entry]}/services/certificates/issue"
        status, body, error = 0, {}, ""
        try:
            async with session.post(url, data=f"lot {key}", headers=headers) as resp:
                text = await resp.read()
                status, body = resp.status, json.loads(text)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as exc:
            status, error = 0, type(exc).__name__
        ended = loop.time()
        found = Attempt(key, name, entry, began, ended, status, body, error)
        self.attempts.append(found)
        return found


def judge(attempts: list[Attempt], runs: dict[str, int]) -> list[str]:
    """What was broken; ``runs`` are the service's counts by the attempts' names."""
    broken = []
    by_key: dict[str, int] = {}
    for name, count in runs.items():
        key = name.split("/")[0]
        by_key[key] = by_key.get(key, 0) + count
    for key, count in by_key.items():
        if count > 1:
            which = {n: c for n, c in runs.items() if n.split("/")[0] == key}
            broken.append(f"call {key} ran {count} times: {which}")
    for attempt in attempts:
        if attempt.told_no and runs.get(attempt.name, 0):
            broken.append(f"told 'no' and ran: {attempt}")
        if attempt.status == 200:
            broken += _judge_answer(attempt, by_key)
    return broken


def _judge_answer(attempt: Attempt, by_key: dict[str, int]) -> list[str]:
    body = attempt.body
    own = str(body.get("key", "")).split("/")[0] == attempt.key
    if not own or body.get("echo") != f"lot {attempt.key}":
        return [f"another call's answer: {attempt}"]
    if by_key.get(attempt.key) != 1:
        return [f"answered, and ran {by_key.get(attempt.key, 0)} times: {attempt}"]
    return []
