"""The ``Backend`` service: one attempt to serve a request, and the survey."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import itertools
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING

import grpc

from bambootiller import logs
from bambootiller.agent import messages
from bambootiller.agent.calls import Call
from bambootiller.agent.catch_up import CatchUp
from bambootiller.agent.driver import Driver
from bambootiller.agent.messages import EventWriter
from bambootiller.agent.pieces import Completed
from bambootiller.agent.service_paths import may_not_repeat
from bambootiller.agent.service_run import ServiceClient
from bambootiller.rpc import bambootiller_pb2 as pb, bambootiller_pb2_grpc as api
from bambootiller_core.documents import TEMPLATES_PREFIX
from bambootiller_core.outcomes import Code, Executed, Refused
from bambootiller_core.slots import document_key
from bambootiller_core.types import LoadFigures, ModelKey, ModelTarget, ServiceTarget

if TYPE_CHECKING:
    from bambootiller.app import Application

log = logs.logger("backend")


class BackendServicer(api.BackendServicer):
    """Serves attempts until their one final event; the driver does the work."""

    def __init__(
        self, app: Application, driver: Driver, services: ServiceClient
    ) -> None:
        self._app = app
        self._driver = driver
        self._services = services
        self._catch_up = CatchUp(app)
        self._numbers = itertools.count(1)

    async def Serve(
        self, request: pb.ServeRequest, context: grpc.aio.ServicerContext
    ) -> AsyncIterator[pb.ServeEvent]:
        """Serve one attempt; a cancelled RPC ends the work."""
        model = request.model.model
        with logs.fields(
            request=request.request_id, customer=request.customer, model=model
        ):
            try:
                async with contextlib.aclosing(self._serve(request, context)) as events:
                    async for event in events:
                        yield event
            except (asyncio.CancelledError, GeneratorExit):
                raise
            except Exception as exc:
                # gRPC would answer with an error and go on; after a broken invariant
                # the process mustn't.
                self._app.fail(exc)

    async def Survey(
        self, request: pb.SurveyRequest, context: grpc.aio.ServicerContext
    ) -> pb.SurveyReply:
        """The figures that a slot's placement is decided on."""
        key = ModelKey(request.customer, request.model)
        survey = self._driver.core.survey(key)
        return pb.SurveyReply(
            instance=self._app.instance,
            zone=self._app.settings.zone,
            memory_total=survey.memory_total,
            memory_free=survey.memory_free,
            slots=survey.slots,
            slots_bytes=survey.slots_bytes,
            tier=survey.tier.value,
            leaving=survey.leaving,
        )

    async def _serve(
        self, message: pb.ServeRequest, context: grpc.aio.ServicerContext
    ) -> AsyncIterator[pb.ServeEvent]:
        writer = EventWriter(message.request_id)
        arrived_at = self._app.now()
        await self._reach_revisions(message)
        call = self._call(message, arrived_at)
        refused = self._obstacle(call)
        if refused is not None:
            self._count(refused)
            yield writer.refused(refused, None)
            return
        # If the caller goes while an event is being sent, gRPC doesn't resume this
        # generator; without the callback the engine would work on for nobody.
        context.add_done_callback(lambda done: self._ended(call))
        self._driver.arrive(call)
        try:
            async for event in self._events(call, writer):
                yield event
        finally:
            self._ended(call)

    def _ended(self, call: Call) -> None:
        """The RPC is over: nothing to do after its final event, else end the work."""
        try:
            self._driver.cancel(call)
        except Exception as exc:
            self._app.fail(exc)

    async def _events(
        self, call: Call, writer: EventWriter
    ) -> AsyncIterator[pb.ServeEvent]:
        outbox = call.outbox
        figures = functools.partial(self._figures, call)
        while pieces := await outbox.take():
            for event in writer.pieces(pieces, figures):
                yield event
        if isinstance(outbox.final, Completed):
            self._app.metrics.incr("agent.answered")
            yield writer.done(outbox.final, self._figures(call))
        else:
            self._count(outbox.final)
            yield writer.refused(outbox.final, self._figures(call))

    async def _reach_revisions(self, message: pb.ServeRequest) -> None:
        customer = message.customer
        template = TEMPLATES_PREFIX + customer
        await self._catch_up.reach(template, message.template_revision)
        if message.WhichOneof("target") == "model":
            table = document_key(ModelKey(customer, message.model.model))
            await self._catch_up.reach(table, message.slots_revision)

    def _call(self, message: pb.ServeRequest, arrived_at: float) -> Call:
        request_id = message.request_id
        if self._driver.is_open(request_id):
            # An attempt whose connection was cut may still be open here when the next
            # one comes. Under one name, the second would get the first one's events.
            request_id = f"{request_id}~{next(self._numbers)}"
        non_idempotent = message.non_idempotent or self._declared(message)
        return messages.read_call(message, request_id, arrived_at, non_idempotent)

    def _declared(self, message: pb.ServeRequest) -> bool:
        template = self._app.catalogue.template(message.customer)
        if template is None or message.WhichOneof("target") != "service":
            return False
        policy = template.services.get(message.service.service)
        return may_not_repeat(policy, message.service.path)

    def _obstacle(self, call: Call) -> Refused | None:
        """What only this shell knows against serving a call."""
        req = call.req
        target = req.target
        if isinstance(target, ServiceTarget) and target.service not in self._services:
            detail = f"no service {target.service!r} runs beside {self._app.instance}"
            return _no(Code.NOT_HOLDER, detail)
        if isinstance(target, ModelTarget) and self._app.settings.engine_url is None:
            detail = f"no engine runs beside {self._app.instance}"
            return _no(Code.NOT_HOLDER, detail)
        if req.non_idempotent and not req.idempotency_key:
            return _no(Code.KEY_REQUIRED, "the call is non-idempotent and has no key")
        return None

    def _figures(self, call: Call) -> LoadFigures:
        target = call.req.target
        if isinstance(target, ModelTarget):
            key = ModelKey(call.req.customer, target.model)
            return self._driver.core.figures(key)
        return self._driver.core.service_figures(call.req.customer, target.service)

    def _count(self, refused: Refused) -> None:
        log.info("refused as {}: {}", refused.code.value, refused.detail)
        self._app.metrics.incr(f"agent.refused.{refused.code.value}")


def _no(code: Code, detail: str) -> Refused:
    return Refused(code, Executed.NO, detail, 0)
