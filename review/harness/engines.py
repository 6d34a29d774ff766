"""The project's stand-in of an engine, with the memory and the orders of the pages."""

from __future__ import annotations

import asyncio

from bambootiller_platform_standins.httpd import Reply
from bambootiller_platform_standins.replica import StandinReplica


class LimitedEngine(StandinReplica):
    """An engine that crashes if it is ordered to load more than its memory holds.

    With ``late_model``, the next order to load that model gets no answer and is carried
    out ``late_s`` seconds later, if its ``expected`` holds then. Copies of it that are
    sent again are answered at once. Loads from disk and from the weight store take
    different times.
    """

    disk_s = 0.51
    store_s = 6.0

    def __init__(self, instance: str, service: str, models=()) -> None:
        super().__init__(instance, service, models)
        self.on_disk.update(models)
        self.late_model: str | None = None
        self.late_sent_at: float | None = None
        self.late_carried_out: int | None = None
        self.note = lambda what, **fields: None

    def _load_duration_s(self, model: str) -> float:
        return self.disk_s if model in self.on_disk else self.store_s

    def _order_reply(self, payload: dict) -> Reply:
        name = f"{payload['operation']} {payload['model']}"
        late = (
            payload["operation"] == "model_load"
            and payload["model"] == self.late_model
            and not payload.get("adapter")
        )
        if late:
            self.late_model = None
            loop = asyncio.get_running_loop()
            self.late_sent_at = loop.time()
            loop.call_later(self.late_s, self._carry_out_late, payload)
            self.note("order unanswered", order=name, expected=payload["expected"])
            return Reply(silent=True)
        status = self._execute_order(payload)
        self.note("order", order=name, expected=payload.get("expected"), answer=status)
        return Reply(status)

    def _carry_out_late(self, payload: dict) -> None:
        held, seq = sorted({*self.held, *self._loading}), self.accepted
        self.late_carried_out = self._execute_order(payload)
        self.note(
            "late order carried out",
            order=f"{payload['operation']} {payload['model']}",
            expected=payload["expected"],
            seq=seq,
            holds=",".join(held) or "nothing",
            answer=self.late_carried_out,
        )
