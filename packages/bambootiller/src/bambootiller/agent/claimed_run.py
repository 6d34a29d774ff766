"""Running a non-idempotent call: under a claim, once, and to its end.

Once such a call has been sent, it is not cancelled when its caller goes away or its
deadline passes: the run can't be taken back, and its answer is what a repeat will ask
for. The task goes on without a reader for a bounded time, and its answer is written
into the claim.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from bambootiller.agent.answer_copy import AnswerCopy
from bambootiller.agent.calls import Call
from bambootiller.agent.claims import ClaimKeeper
from bambootiller.agent.pieces import AnswerHead, Completed, Data, Final, Text
from bambootiller.agent.refusals import backend_failed
from bambootiller_core.claims import (
    Claimed,
    ClaimState,
    KeptAnswer,
    Replay,
    refusal,
)
from bambootiller_core.http_status import FINAL_STATUSES
from bambootiller_core.invariants import ensure
from bambootiller_core.outcomes import Executed
from bambootiller_core.template import WhenStoreDown

Run = Callable[[Call], Awaitable[Final]]


async def run_claimed(
    keeper: ClaimKeeper, call: Call, run: Run, when_down: WhenStoreDown
) -> Final:
    """Claim the call and run it, or answer it from its claim."""
    outcome = await keeper.claim(call, when_down)
    match outcome:
        case Claimed(token):
            return await _run_once(keeper, token, call, run)
        case Replay(answer):
            return await _replay(call, answer)
    return refusal(outcome)


async def _run_once(keeper: ClaimKeeper, token: str, call: Call, run: Run) -> Final:
    ensure(
        call.outbox.final is None,
        "not-run-is-true",
        f"call {call.name} would run after it was told {call.outbox.final}",
    )
    keeper.start(token)
    kept = call.copy = AnswerCopy()
    try:
        final = await run(call)
    except asyncio.CancelledError:
        # Cut short by the end of the process, or before anything was sent.
        state = ClaimState.CUT if call.sent else ClaimState.RELEASED
        keeper.close(token, state)
        raise
    if isinstance(final, Completed):
        keeper.close(token, ClaimState.DONE, kept.answer(final))
    elif final.executed is Executed.NO:
        keeper.close(token, ClaimState.RELEASED)
    else:
        keeper.close(token, ClaimState.CUT)
    return final


async def _replay(call: Call, answer: KeptAnswer) -> Final:
    if call.is_model:
        text = answer.body.decode(errors="replace")
        await call.put(Text(text, answer.tokens))
    elif answer.status not in FINAL_STATUSES:
        # Earlier versions kept whatever the service had answered.
        return backend_failed(
            Executed.UNKNOWN, f"the kept answer has status {answer.status}"
        )
    else:
        await call.put(AnswerHead(answer.status, answer.headers, replayed=True))
        if answer.body:
            await call.put(Data(answer.body))
    return Completed(answer.tokens, answer.finish_reason, replayed=True)
