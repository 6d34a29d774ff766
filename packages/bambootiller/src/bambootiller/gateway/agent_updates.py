"""Messages of an agent to the entries, and what the entries have reported to it.

Both sides keep what was reported on a stream until it is replaced there, so only
changes are sent. Any message, also an empty one, confirms that what was reported still
holds.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass

from bambootiller.gateway import message_codec
from bambootiller.gateway.event_log import EventLog
from bambootiller.gateway.exchange import (
    UPDATE_INTERVAL_S,
    Exchanger,
    PeerStream,
    Update,
)
from bambootiller.gateway.quarantine import Quarantine
from bambootiller_core.gateway.demand_collection import planners
from bambootiller_core.gateway.engine_state import EngineState
from bambootiller_core.gateway.log_lines import EntryHeard
from bambootiller_core.gateway.model_demand import NO_DEMAND, Demand
from bambootiller_core.gateway.orders import OrderBook

#: An entry counts as live for this long after its last message. Seconds.
ENTRY_TIMEOUT_S = 3.0
#: Maximum rate of messages with load figures to all entries together, per second:
#: sending them to 68 entries twice a second would take a tenth of a core.
FIGURES_PER_S = 80
#: Maximum interval between messages with load figures: a heartbeat is due by then
#: anyway (``exchange.SERVER_HEARTBEAT_S``). Seconds.
MAX_FIGURES_INTERVAL_S = 0.7
#: An entry that has requested a load is sent all changes at once for this long; it
#: repeats the request several times a second while a call waits. Seconds.
PROMPT_UPDATE_S = 1.0


@dataclass(frozen=True, slots=True)
class EntryReport:
    """What an entry has reported on its stream; holds until it is replaced there."""

    demands: Mapping[str, Demand]
    in_use: Mapping[str, int]
    collect: bool


class AgentUpdates:
    """Fills the messages of one agent to all entries, and handles theirs.

    Example::

        updates = AgentUpdates(exchanger, events, clock, load_requested, quarantine)
        updates.begin(book)
        updates.send_changes()
    """

    def __init__(
        self,
        exchanger: Exchanger,
        events: EventLog,
        clock: Callable[[], float],
        load_requested: Callable[[], None],
        quarantine: Quarantine,
    ) -> None:
        self._quarantine = quarantine
        self._exchanger = exchanger
        self._events = events
        self._clock = clock
        self._load_requested = load_requested
        self._book: OrderBook | None = None
        self._can_order = False
        self._engine_silent = False
        self._sent: EngineState | None = None
        self._sent_demands: Mapping[str, Demand] = {}
        self._entries: dict[str, float] = {}
        self._collecting_entries: set[str] = set()
        self._cached_report: Update | None = None
        self._sent_at = float("-inf")
        #: Whether the last change was sent to some of the entries only.
        self._partially_sent = False
        self._load_requested_at: dict[str, float] = {}

    @property
    def entry_count(self) -> int:
        """Number of live entries."""
        return len(self._entries)

    def has_live_entry(self) -> bool:
        """Whether any entry is live."""
        now = self._clock()
        return any(now - at < ENTRY_TIMEOUT_S for at in self._entries.values())

    def begin(self, book: OrderBook) -> None:
        """Sets the order book, once the engine's configuration is known. Entries that
        have reported before don't repeat their reports, so these are applied now."""
        self._book = book
        now = self._clock()
        for peer_stream in self._exchanger.streams():
            if now - peer_stream.last_received_at < ENTRY_TIMEOUT_S:
                self._refresh_entry(peer_stream, is_new=True)

    def set_can_order(self, orders: bool) -> None:
        """Sets whether the agent holds a fencing token, without which it can't
        order."""
        self._can_order = orders
        self._send_new_report()

    def set_engine_responsive(self, is_responsive: bool) -> None:
        """Sets whether the engine responds to the agent."""
        self._engine_silent = not is_responsive
        self._send_new_report()

    def send_changes(self) -> None:
        """Sends changes that entries decide on at once, and other figures with a delay.

        A change by which the engine offers less is sent to all entries. A change by
        which it offers more is sent at once only to the entries that need it. Sent to
        all, the loads of engines would be most of what the processes of a large fleet
        read.
        """
        if self._book is None:
            return
        now = self._clock()
        self._expire_entries(now)
        state = self._book.state(now)
        if state is None:
            return
        before = self._sent
        affects_decisions = before is None or _differs(before, state)
        due = now - self._sent_at >= self._figures_interval_s()
        if due and (
            affects_decisions or self._partially_sent or self._has_changed(state)
        ):
            self._send_to_all(state)
        elif affects_decisions and (before is None or _offers_less(before, state)):
            self._send_to_all(state)
        elif affects_decisions:
            self._send_to_concerned(now, state, _added(before, state))

    def _send_to_all(self, state: EngineState) -> None:
        self._sent, self._sent_demands = state, self._book.demands()
        self._send_new_report()

    def _send_to_concerned(
        self, now: float, state: EngineState, added: Collection[str]
    ) -> None:
        """Sends the state to the entries that are responsible for loads, those that
        requested one lately, and those with demand for the models in ``added``."""
        self._sent, self._cached_report = state, None
        self._partially_sent = True
        responsible = planners(tuple(sorted(self._entries)))
        for peer_stream in self._exchanger.streams():
            entry = peer_stream.peer
            since_request_s = now - self._load_requested_at.get(entry, float("-inf"))
            if (
                entry in responsible
                or since_request_s < PROMPT_UPDATE_S
                or _has_demand_for(peer_stream.report, added)
            ):
                peer_stream.send_now()

    def fill(self, update: Update, peer_stream: PeerStream) -> None:
        """Adds to a message what its receiver hasn't been sent yet."""
        self._quarantine.fill(update, peer_stream, own=False)
        report = self._report()
        if report is None:
            return
        if peer_stream.last_sent.get("engine") is not report:
            peer_stream.last_sent["engine"] = report
            update.engine.CopyFrom(report.engine)
            _omit_known_copies(update, peer_stream)
        self._fill_total_demand(update, peer_stream, report)

    def received(self, update: Update, peer_stream: PeerStream) -> None:
        """Handles a message of an entry."""
        self._quarantine.take(update, peer_stream)
        if update.begins:
            peer_stream.report = None
        is_new = update.HasField("entry")
        if is_new:
            peer_stream.report = EntryReport(
                message_codec.demands_of(update.entry.demand),
                dict(update.entry.in_use),
                update.entry.collect,
            )
        self._refresh_entry(peer_stream, is_new)
        if self._book is None or not update.wishes:
            return
        self._load_requested_at[peer_stream.peer] = self._clock()
        if peer_stream.last_sent.get("engine") is not self._report():
            # The entry decided on an outdated state of the engine.
            peer_stream.send_now()
        for message in update.wishes:
            load_request = message_codec.load_request_of(message)
            self._book.load_requested(self._clock(), load_request, peer_stream.peer)
        self._load_requested()

    def _figures_interval_s(self) -> float:
        """Minimum interval between two messages with load figures, in seconds."""
        return min(
            MAX_FIGURES_INTERVAL_S,
            max(UPDATE_INTERVAL_S, len(self._entries) / FIGURES_PER_S),
        )

    def _has_changed(self, state: EngineState) -> bool:
        if state != self._sent:
            return True
        return (
            bool(self._collecting_entries)
            and self._book.demands() != self._sent_demands
        )

    def _send_new_report(self) -> None:
        self._cached_report = None
        self._partially_sent = False
        self._sent_at = self._clock()
        self._exchanger.send_now()

    def _fill_total_demand(
        self, update: Update, peer_stream: PeerStream, report: Update
    ) -> None:
        """Adds the total demand for an entry that collects it, and an empty one once
        when the entry has stopped collecting."""
        collected = None
        if peer_stream.peer in self._collecting_entries:
            collected = (report, tuple(sorted(self._entries)))
        last_sent = peer_stream.last_sent.get("collected")
        if last_sent == collected:
            return
        peer_stream.last_sent["collected"] = collected
        update.collected = True
        if collected is not None:
            update.entries.extend(collected[1])
            update.total_demand.extend(report.total_demand)

    def _report(self) -> Update | None:
        """The report to all entries, built once for all streams until it changes.

        A change is sent on all streams at the same time. Built for each stream, the
        report would cost an agent more the more entries there are.
        """
        if self._cached_report is not None:
            return self._cached_report
        state = self._book.state(self._clock()) if self._book is not None else None
        if state is None:
            return None
        new_report = Update(engine=message_codec.engine_message(state))
        new_report.engine.orderable = state.orderable and self._can_order
        new_report.engine.silent = self._engine_silent
        if self._collecting_entries:
            new_report.total_demand.extend(
                message_codec.demand_messages(self._book.demands())
            )
        self._cached_report = new_report
        return new_report

    def _expire_entries(self, now: float) -> None:
        for entry, at in list(self._entries.items()):
            if now - at > ENTRY_TIMEOUT_S:
                del self._entries[entry]
                self._collecting_entries.discard(entry)
                self._load_requested_at.pop(entry, None)
                self._events.emit(EntryHeard(entry, heard=False))
                self._exchanger.send_later()

    def _refresh_entry(self, peer_stream: PeerStream, is_new: bool) -> None:
        """Applies an entry's report, which stays valid although it isn't repeated."""
        entry_report, entry = peer_stream.report, peer_stream.peer
        if self._book is None or not isinstance(entry_report, EntryReport):
            return
        if entry not in self._entries:
            self._events.emit(EntryHeard(entry, heard=True))
            self._exchanger.send_later()
        self._entries[entry] = at = peer_stream.last_received_at
        self._set_collecting(entry, entry_report.collect)
        if is_new or not self._book.entry_alive(at, entry):
            self._book.entry_reported(
                at, entry, entry_report.demands, entry_report.in_use
            )

    def _set_collecting(self, entry: str, collect: bool) -> None:
        if collect == (entry in self._collecting_entries):
            return
        if collect:
            self._collecting_entries.add(entry)
        else:
            self._collecting_entries.discard(entry)
        self._send_new_report()


def _omit_known_copies(update: Update, peer_stream: PeerStream) -> None:
    """Leaves out the list of copies if the peer has it. It changes only once in several
    seconds, and is most of the message when there are many models."""
    engine = update.engine
    start = (engine.instance, engine.started_ms)
    copies = (start, tuple(engine.in_memory), tuple(engine.on_disk))
    if peer_stream.last_sent.get("copies") == copies:
        update.engine.same_copies = True
        del update.engine.in_memory[:]
        del update.engine.on_disk[:]
    else:
        peer_stream.last_sent["copies"] = copies


def _differs(last_sent: EngineState, state: EngineState) -> bool:
    """Whether the change affects the decisions of entries; mere load figures can
    wait."""
    return (
        last_sent.incarnation != state.incarnation
        or last_sent.holdings != state.holdings
        or last_sent.busy != state.busy
        or last_sent.orderable != state.orderable
        or last_sent.declined != state.declined
        or (last_sent.loading is None) != (state.loading is None)
    )


def _offers_less(last_sent: EngineState, state: EngineState) -> bool:
    """Whether the engine offers less than entries have been sent. A call sent there for
    a model that has been unloaded would be rejected, and may have no attempts left."""
    if last_sent.incarnation != state.incarnation:
        return True
    if last_sent.orderable and not state.orderable:
        return True
    return any(
        not adapters <= state.holdings.get(model, frozenset())
        or model not in state.holdings
        for model, adapters in last_sent.holdings.items()
    )


def _added(last_sent: EngineState, state: EngineState) -> set[str]:
    """The models for which the engine holds more than was last sent, or that it
    loads."""
    models = {
        model
        for model, adapters in state.holdings.items()
        if last_sent.holdings.get(model) != adapters
    }
    if state.loading is not None:
        models.add(state.loading.model)
    return models


def _has_demand_for(report: object, models: Collection[str]) -> bool:
    if not isinstance(report, EntryReport):
        return False
    return any(report.demands.get(model, NO_DEMAND).value for model in models)
