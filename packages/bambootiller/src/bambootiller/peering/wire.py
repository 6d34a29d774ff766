"""Gossip messages between the core's data classes and the protocol's messages.

What comes from another process is checked here. A member without a name or an address,
or with an unknown role or status, as a newer program might send, is left out; the rest
of the message counts."""

from __future__ import annotations

from bambootiller.rpc import bambootiller_pb2 as pb
from bambootiller_core.documents import Document, Head
from bambootiller_core.gossip import Message
from bambootiller_core.membership import Statement, Status
from bambootiller_core.types import Member, Role


def request_of(message: Message) -> pb.ExchangeRequest:
    """A message as a request."""
    return pb.ExchangeRequest(
        sender=message.sender,
        probe_target=message.probe_target,
        probe_address=message.probe_address,
        deltas=_deltas_of(message),
        full=message.full,
    )


def reply_of(message: Message, probe_ok: bool) -> pb.ExchangeReply:
    """A message as a reply."""
    return pb.ExchangeReply(
        sender=message.sender, probe_ok=probe_ok, deltas=_deltas_of(message)
    )


def from_request(request: pb.ExchangeRequest) -> Message:
    """The message of a request."""
    return _message(
        request.sender,
        request.deltas,
        probe_target=request.probe_target,
        probe_address=request.probe_address,
        full=request.full,
    )


def from_reply(reply: pb.ExchangeReply) -> Message:
    """The message of a reply."""
    return _message(reply.sender, reply.deltas)


def document_of(document: Document) -> pb.Document:
    """A document as the protocol has it."""
    return pb.Document(
        key=document.key,
        revision=document.revision,
        value=document.value,
        deleted=document.deleted,
    )


def from_document(form: pb.Document) -> Document:
    """A document from the protocol's form."""
    return Document(form.key, form.revision, form.value, form.deleted)


def _deltas_of(message: Message) -> pb.Deltas:
    return pb.Deltas(
        members=[_member_of(statement) for statement in message.statements],
        heads=[
            pb.DocumentHead(key=head.key, revision=head.revision)
            for head in message.heads
        ],
        documents=[document_of(document) for document in message.documents],
        members_digest=message.members_digest,
        documents_digest=message.documents_digest,
    )


def _member_of(statement: Statement) -> pb.MemberState:
    member = statement.member
    return pb.MemberState(
        instance=member.instance,
        role=member.role.value,
        zone=member.zone,
        region=member.region,
        address=member.address,
        incarnation=member.incarnation,
        status=statement.status.value,
        services=member.services,
    )


def _message(
    sender: str,
    deltas: pb.Deltas,
    probe_target: str = "",
    probe_address: str = "",
    full: bool = False,
) -> Message:
    statements = (_statement(form) for form in deltas.members)
    return Message(
        sender,
        statements=tuple(one for one in statements if one is not None),
        heads=tuple(Head(form.key, form.revision) for form in deltas.heads),
        documents=tuple(from_document(form) for form in deltas.documents),
        members_digest=deltas.members_digest,
        documents_digest=deltas.documents_digest,
        probe_target=probe_target,
        probe_address=probe_address,
        full=full,
    )


def _statement(form: pb.MemberState) -> Statement | None:
    try:
        role = Role(form.role)
        status = Status(form.status)
    except ValueError:
        return None
    member = Member(
        form.instance,
        role,
        form.zone,
        form.region,
        form.address,
        form.incarnation,
        tuple(form.services),
    )
    return Statement(member, status) if form.instance and form.address else None
