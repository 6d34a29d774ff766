"""Waiting until an accepted change is in force on every member.

A change is accepted once the key-value service has it; it is in force once every member
works by it. A member counts if it reports the version, or a higher one that came after.
Members that leave take no new work and aren't waited for. A member that doesn't answer
isn't taken for one that has followed: it may be cut off and still serve callers.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from bambootiller.instanceforms import LEAVING
from bambootiller.operators.members import (
    Fleet,
    MemberStatus,
    NoAnswer,
    NoMembers,
    Survey,
)

POLL_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class Lagging:
    """A member that works by an older version (0: it has none)."""

    instance: str
    version: int


@dataclass(frozen=True, slots=True)
class InForce:
    """Every member has the version in force."""

    customer: str
    version: int
    members: int
    seconds: float


@dataclass(frozen=True, slots=True)
class NotInForce:
    """The time is up; these members lag behind or don't answer."""

    customer: str
    version: int
    members: int
    lagging: tuple[Lagging, ...]
    silent: tuple[NoAnswer, ...]
    detail: str = ""


Counted = Callable[[int, int], None]


async def wait_in_force(
    fleet: Fleet,
    customer: str,
    version: int,
    *,
    timeout: float,
    now: Callable[[], float],
    sleep: Callable[[float], Awaitable[None]],
    progress: Counted,
) -> InForce | NotInForce:
    """Ask all members until the version is in force everywhere, or time is up.

    ``timeout`` is in seconds on the clock ``now``. ``progress`` is told after each
    round how many members have followed, and out of how many.
    """
    began = now()
    while True:
        survey = await fleet.survey()
        outcome = _judge(survey, customer, version, now() - began)
        if isinstance(outcome, InForce):
            return outcome
        progress(outcome.members - _behind(outcome), outcome.members)
        if now() - began >= timeout:
            return outcome
        await sleep(POLL_SECONDS)


def _judge(
    survey: Survey | NoMembers, customer: str, version: int, seconds: float
) -> InForce | NotInForce:
    if isinstance(survey, NoMembers):
        return NotInForce(customer, version, 0, (), (), survey.detail)
    staying = [status for status in survey.answers if not _leaves(status)]
    lagging = tuple(
        Lagging(status.instance, status.template_versions.get(customer, 0))
        for status in staying
        if status.template_versions.get(customer, 0) < version
    )
    silent = tuple(item for item in survey.silent if item.ref.state != LEAVING)
    members = len(staying) + len(silent)
    if lagging or silent or not members:
        return NotInForce(customer, version, members, lagging, silent)
    return InForce(customer, version, members, seconds)


def _leaves(status: MemberStatus) -> bool:
    return status.leaving or status.ref.state == LEAVING


def _behind(outcome: NotInForce) -> int:
    return len(outcome.lagging) + len(outcome.silent)
