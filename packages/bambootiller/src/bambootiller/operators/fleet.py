"""Asking the members of the fleet what they have in force and what they decided.

The members come from the platform's instance list, which lags, and from what the
members themselves know of one another, which doesn't. While the list is down, the
members named by ``--peers`` are asked first. Each member is asked by itself, a few at a
time, and one that doesn't answer is reported as such: silence is a finding here, not an
error.

    fleet = GrpcFleet(cfg)
    survey = await fleet.survey()
    [member.instance for member in survey.silent]
"""

import asyncio
import json
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import aiohttp
import grpc

from bambootiller._forms import plain_url
from bambootiller.instanceforms import (
    LEAVING,
    LIST_FORMS,
    ListedInstance,
    NotAList,
)
from bambootiller.operators.members import (
    Decisions,
    Explanation,
    MemberRef,
    MemberStatus,
    NoAnswer,
    NoMembers,
    Progress,
    Survey,
)
from bambootiller.rpc import bambootiller_pb2 as pb
from bambootiller.rpc.channels import Channels
from bambootiller.settings import Settings

CALL_SECONDS = 3.0
ASKED_AT_ONCE = 32
#: How many members' tables are read to find those that the list doesn't show.
TABLES_READ = 2
_GONE = ("dead", LEAVING)


class GrpcFleet:
    """The fleet over the protocol between processes."""

    def __init__(self, cfg: Settings) -> None:
        self._cfg = cfg
        self._channels = Channels(cfg)
        self._metadata = _metadata(cfg)

    async def survey(self, progress: Progress | None = None) -> Survey | NoMembers:
        """Ask all members for their status.

        Members that only other members know of are asked in a second round, so that an
        instance which the lagging list doesn't show yet is counted as well.
        """
        refs = await self._members()
        if isinstance(refs, NoMembers):
            return refs
        first = await _ask_all(refs, self._status, progress)
        known = {item.ref.address for item in first}
        answering = [item.ref for item in first if isinstance(item, MemberStatus)]
        seen = await self._seen_by(answering[:TABLES_READ])
        more = [ref for ref in seen if ref.address not in known]
        second = await _ask_all(more, self._status, progress)
        return _survey([*first, *second])

    async def explain(
        self, subject: str, progress: Progress | None = None
    ) -> Explanation | NoMembers:
        """Ask all members for their records about a subject."""
        survey = await self.survey()
        if isinstance(survey, NoMembers):
            return survey

        async def inspect(ref: MemberRef) -> Decisions | NoAnswer:
            return await self._inspect(ref, subject)

        refs = [status.ref for status in survey.answers]
        answers = await _ask_all(refs, inspect, progress)
        found = [item for item in answers if isinstance(item, Decisions)]
        silent = [item for item in answers if isinstance(item, NoAnswer)]
        return Explanation(
            subject,
            tuple(item for item in found if item.records),
            (*survey.silent, *silent),
        )

    async def close(self) -> None:
        """Close the channels."""
        await self._channels.close()

    async def _members(self) -> tuple[MemberRef, ...] | NoMembers:
        listed = await self._listed()
        refs = {str(peer): MemberRef(str(peer)) for peer in self._cfg.peers}
        if isinstance(listed, NoMembers):
            return tuple(refs.values()) or listed
        refs.update({ref.address: ref for ref in listed})
        if not refs:
            return NoMembers("the instance list is empty and --peers names nobody")
        return tuple(refs.values())

    async def _listed(self) -> tuple[MemberRef, ...] | NoMembers:
        url = self._cfg.instances_url
        if url is None:
            return NoMembers("neither --instances-url nor --peers is set")
        timeout = aiohttp.ClientTimeout(total=CALL_SECONDS)
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                async with session.get(plain_url(url)) as answer:
                    answer.raise_for_status()
                    found = LIST_FORMS.of(url)(await answer.read())
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            return NoMembers(f"--instances-url {url} can't be read: {_text(exc)}")
        if isinstance(found, NotAList):
            return NoMembers(f"--instances-url {url} isn't a list: {found.detail}")
        return tuple(_ref(item) for item in found)

    async def _seen_by(self, refs: list[MemberRef]) -> list[MemberRef]:
        """The members that a few others hold for alive or in doubt."""
        # Without a sender the message counts as nobody's, and changes nothing there.
        request = pb.ExchangeRequest(full=True)
        seen: dict[str, MemberRef] = {}
        for ref in refs:
            stub = self._channels.peer(ref.address)
            try:
                reply = await stub.Exchange(request, timeout=CALL_SECONDS)
            except grpc.RpcError:
                continue
            for item in reply.deltas.members:
                if item.status not in _GONE and item.address:
                    found = (item.address, item.instance, item.role, item.zone)
                    seen[item.address] = MemberRef(*found)
        return list(seen.values())

    async def _status(self, ref: MemberRef) -> MemberStatus | NoAnswer:
        try:
            reply = await self._channels.peer(ref.address).Status(
                pb.StatusRequest(), timeout=CALL_SECONDS, metadata=self._metadata
            )
        except grpc.RpcError as exc:
            return NoAnswer(ref, _rpc_text(exc))
        return MemberStatus(
            ref=ref,
            instance=reply.instance,
            role=reply.role,
            zone=reply.zone,
            leaving=reply.leaving,
            template_versions=dict(reply.template_versions),
            revision=reply.revision,
            members_alive=reply.members_alive,
            members_known=reply.members_known,
            detail=_object(reply.detail_json),
        )

    async def _inspect(self, ref: MemberRef, subject: str) -> Decisions | NoAnswer:
        try:
            reply = await self._channels.peer(ref.address).Inspect(
                pb.InspectRequest(subject=subject),
                timeout=CALL_SECONDS,
                metadata=self._metadata,
            )
        except grpc.RpcError as exc:
            return NoAnswer(ref, _rpc_text(exc))
        try:
            records = json.loads(reply.decisions_json or "[]")
        except ValueError as exc:
            return NoAnswer(ref, f"the answer isn't JSON: {exc}")
        kept = tuple(item for item in records if isinstance(item, dict))
        return Decisions(reply.instance or ref.label, kept)


async def _ask_all(
    refs: Iterable[MemberRef],
    ask: Callable[[MemberRef], Awaitable[Any]],
    progress: Progress | None,
) -> list[Any]:
    """Ask all, a bounded number at a time; the answers in the order of ``refs``."""
    refs = list(refs)
    gate = asyncio.Semaphore(ASKED_AT_ONCE)
    done = 0

    async def one(ref: MemberRef) -> Any:
        nonlocal done
        async with gate:
            answer = await ask(ref)
        done += 1
        if progress is not None:
            progress(done, len(refs))
        return answer

    return list(await asyncio.gather(*(one(ref) for ref in refs)))


def _survey(items: list[MemberStatus | NoAnswer]) -> Survey:
    answers = [item for item in items if isinstance(item, MemberStatus)]
    silent = [item for item in items if isinstance(item, NoAnswer)]
    # One member may be listed under two addresses, its own and one from --peers.
    unique = {item.instance: item for item in answers}
    return Survey(
        tuple(unique[name] for name in sorted(unique)),
        tuple(sorted(silent, key=lambda item: item.ref.label)),
    )


def _ref(item: ListedInstance) -> MemberRef:
    return MemberRef(
        address=item.address,
        instance=item.instance,
        role=item.role.value,
        zone=item.zone,
        state=item.state,
    )


def _metadata(cfg: Settings) -> tuple[tuple[str, str], ...]:
    if cfg.operator_key is None:
        return ()
    return (("authorization", f"Bearer {cfg.operator_key}"),)


def _object(text: str) -> dict[str, Any]:
    try:
        value = json.loads(text or "{}")
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


def _rpc_text(exc: grpc.RpcError) -> str:
    code = exc.code().name.lower() if hasattr(exc, "code") else "error"
    details = exc.details() if hasattr(exc, "details") else ""
    return f"{code}: {details}" if details else code


def _text(exc: BaseException) -> str:
    return str(exc) or type(exc).__name__
