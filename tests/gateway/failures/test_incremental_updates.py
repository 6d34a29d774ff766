"""Streams on which only changes are sent: how long earlier updates stay valid, and
which changes are sent when."""

import unittest
from types import SimpleNamespace

from bambootiller.gateway import message_codec
from bambootiller.gateway.agent_updates import (
    ENTRY_TIMEOUT_S,
    AgentUpdates,
    EntryReport,
)
from bambootiller.gateway.engines import Engines
from bambootiller.gateway.exchange import PeerStream, Update
from bambootiller.gateway.gateway_state import ChangeNotifier
from bambootiller.gateway.quarantine import Quarantine
from bambootiller_core.gateway.demand_collection import demands_changed
from bambootiller_core.gateway.fleet import AGENT_TIMEOUT_S, FIGURES_TTL_S, Fleet
from bambootiller_core.gateway.model_demand import Demand
from bambootiller_core.gateway.order_messages import EngineReport, LoadRequest
from bambootiller_core.gateway.orders import OrderBook
from bambootiller_core.timers import TimerService
from tests.gateway.common import samples
from tests.gateway.common.samples import engine, engine_state, registration

SERVICE = "tutor"


class Clock:
    def __init__(self):
        self.at = 10.0

    def __call__(self):
        return self.at


class App:
    instance = "entry-1"

    def __init__(self, clock):
        self.now = clock
        self.timers = TimerService()


class FakeGatewayState:
    """A gateway state without a store."""

    def __init__(self):
        self.config = None
        self.fleet = Fleet()
        self.changed = ChangeNotifier()
        self.fleet.registry_changed(0.0, registration("b1", SERVICE))


class Stream:
    """A peer stream that counts in ``sent`` how often an update is triggered."""

    def __init__(self, peer):
        self.peer = peer
        self.last_received_at = 0.0
        self.last_sent = {}
        self.report = None
        self.sent = 0

    def send_later(self):
        self.sent += 1

    send_now = send_later
    update_filter = PeerStream.update_filter


class Streams:
    """All peer streams of a process."""

    def __init__(self):
        self.all = []

    def streams(self):
        return self.all

    def send_now(self):
        for stream in self.all:
            stream.sent += 1

    send_later = send_now


class Events:
    def __init__(self):
        self.lines = []

    def emit(self, line):
        self.lines.append(line)


def figures(instance="b1", **fields):
    update = Update(sender="a1", begins=True)
    update.engine.CopyFrom(
        message_codec.engine_message(engine_state(instance, **fields))
    )
    return update


class TestEntryReceivesAgentUpdates(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.gateway_state = FakeGatewayState()
        self.streams = Streams()
        app = App(self.clock)
        self.engines = Engines(
            app,
            self.gateway_state,
            self.streams,
            Events(),
            7,
            samples.allocator_client(),
        )
        self.stream = Stream("a1")
        self.streams.all.append(self.stream)

    def receive(self, update):
        self.stream.last_received_at = self.clock.at
        self.engines.received(update, self.stream)

    def backend(self, instance="b1"):
        return self.gateway_state.fleet.get(instance)

    def test_heartbeats_keep_unrepeated_figures_valid(self):
        self.receive(figures(running=3))
        for _ in range(10):
            self.clock.at += 0.6
            self.receive(Update())
        self.assertTrue(self.backend().agent_responsive(self.clock.at))
        self.assertEqual(self.backend().occupied(self.clock.at), 3)

    def test_figures_expire_when_the_agent_is_silent(self):
        self.receive(figures(running=3))
        self.receive(Update())
        last = self.clock.at
        self.assertEqual(self.backend().occupied(last + FIGURES_TTL_S + 0.01), 0)
        self.assertFalse(self.backend().agent_responsive(last + AGENT_TIMEOUT_S))

    def test_a_restarted_agent_does_not_renew_its_predecessors_figures(self):
        """Symptom: outdated figures of an engine stay valid.

        A restarted agent can't read its engine yet, but its heartbeats renew the
        figures that the agent before it had sent.
        """
        self.receive(figures(running=3))
        sent_at = self.clock.at
        self.clock.at += 0.6
        self.receive(Update(sender="a1", begins=True))
        self.clock.at += 0.6
        self.receive(Update())
        self.assertEqual(self.backend().last_received_at, sent_at)

    def test_figures_received_before_the_registration_are_kept(self):
        """Symptom: an entry doesn't know an engine's state until it changes.

        The agent's first update arrives before the engine's registration, and it isn't
        repeated.
        """
        self.receive(figures("b2", running=2))
        self.assertIsNone(self.backend("b2"))
        self.gateway_state.fleet.registry_changed(
            0.0, registration("b2", SERVICE, address="127.0.0.2:1")
        )
        self.engines._apply_earlier_reports(self.clock.at)
        self.assertEqual(self.backend("b2").engine.running, 2)

    def test_kept_figures_expire_when_the_agent_is_silent(self):
        self.receive(figures("b2", running=2))
        self.gateway_state.fleet.registry_changed(
            0.0, registration("b2", SERVICE, address="127.0.0.2:1")
        )
        self.engines._apply_earlier_reports(self.clock.at + AGENT_TIMEOUT_S)
        self.assertIsNone(self.backend("b2").engine)

    def test_omitted_copies_are_taken_from_the_same_stream(self):
        self.receive(figures(on_disk=frozenset({"poet"})))
        update = figures(running=1)
        update.begins, update.engine.same_copies = False, True
        self.receive(update)
        self.assertEqual(self.backend().engine.on_disk, {"poet"})

    def test_a_total_expires_when_its_collector_is_silent(self):
        update = figures()
        update.collected = True
        update.total_demand.extend(
            message_codec.demand_messages({"poet": Demand(rate=3.0)})
        )
        self.receive(update)
        self.clock.at += 1.2
        self.receive(Update())
        self.clock.at += 1.2
        self.assertEqual(
            self.engines.plans.total_demands(SERVICE, {})["poet"].rate, 3.0
        )
        self.clock.at += 0.4
        self.assertEqual(self.engines.plans.total_demands(SERVICE, {}), {})

    def test_a_collector_that_stops_withdraws_its_total(self):
        update = figures()
        update.collected = True
        update.total_demand.extend(
            message_codec.demand_messages({"poet": Demand(rate=3.0)})
        )
        self.receive(update)
        self.receive(Update(collected=True))
        self.assertEqual(self.engines.plans.total_demands(SERVICE, {}), {})

    def test_an_agent_of_an_earlier_version_repeats_everything(self):
        """Such an agent never sets ``begins``, and omits copies now and then."""
        first = figures(on_disk=frozenset({"poet"}))
        first.begins = False
        self.receive(first)
        again = figures(running=1)
        again.begins, again.engine.same_copies = False, True
        self.receive(again)
        self.assertEqual(self.backend().engine.on_disk, {"poet"})


class TestEntryUpdatesAgent(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.gateway_state = FakeGatewayState()
        self.engines = Engines(
            App(self.clock),
            self.gateway_state,
            Streams(),
            Events(),
            7,
            samples.allocator_client(),
        )
        self.backend = self.gateway_state.fleet.get("b1")
        self.gateway_state.fleet.engine_reported(10.0, engine_state("b1", ("poet",)))
        self.stream = Stream("a1")
        self.engines.plans._own_demands[SERVICE] = {"poet": Demand(rate=1.0, holders=1)}

    def take_update(self):
        """Returns whether an update is due, and marks it as sent if so."""
        if not self.engines._needs_update(self.backend, self.stream):
            return False
        self.stream.last_sent["entry"] = self.engines._current_report(self.backend)
        return True

    def test_unchanged_demand_is_not_sent_again(self):
        self.assertTrue(self.take_update())
        self.assertFalse(self.take_update())
        self.engines.plans._own_demands[SERVICE] = {
            "poet": Demand(rate=0.95, holders=1)
        }
        self.assertFalse(self.take_update())

    def test_small_changes_accumulate(self):
        """Symptom: an agent keeps a model that nobody calls.

        Demand decays in small steps, none of which is large enough to be sent.
        """
        self.take_update()
        sent_count = 0
        for step in range(40):
            rate = 0.95**step
            self.engines.plans._own_demands[SERVICE] = {
                "poet": Demand(rate=rate, holders=1)
            }
            sent_count += self.take_update()
            sent_rate = self.stream.last_sent["entry"].reported_demands["poet"].rate
            self.assertLess(abs(sent_rate - rate), 0.11 * sent_rate)
        self.assertGreater(sent_count, 10)

    def test_calls_waiting_calls_and_holders_are_sent(self):
        self.take_update()
        self.gateway_state.fleet.get("b1").call_sent("poet")
        self.assertTrue(self.take_update())
        self.gateway_state.fleet.get("b1").call_ended("poet")
        self.assertTrue(self.take_update())
        self.engines.plans._own_demands[SERVICE] = {"poet": Demand(1.0, 1, 1, 0.1)}
        self.assertTrue(self.take_update())
        self.engines.plans._own_demands[SERVICE] = {"poet": Demand(1.0, 0, 2)}
        self.assertTrue(self.take_update())

    def test_a_new_stream_gets_a_complete_update(self):
        self.take_update()
        self.stream = Stream("a1")
        self.assertTrue(self.take_update())

    def test_a_waiting_call_is_a_change_each_time(self):
        self.assertTrue(
            demands_changed(
                {"m": Demand(1.0, 1, 0, 0.1)}, {"m": Demand(1.0, 1, 0, 0.5)}
            )
        )


class TestAgentUpdates(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.streams = Streams()
        self.wakeups = []
        self.events = Events()
        gateway_state = SimpleNamespace(fleet=Fleet())
        self.updates = AgentUpdates(
            self.streams,
            self.events,
            self.clock,
            lambda: self.wakeups.append(1),
            Quarantine(gateway_state, self.events, self.clock, lambda: None),
        )
        self.book = OrderBook(engine())
        self.stream = Stream("e1")
        self.streams.all.append(self.stream)

    def begin(self):
        self.updates.begin(self.book)
        self.report()

    def report(self, **fields):
        held = {"tutor": frozenset()}
        fields = {"holdings": held, "accepted": 0, "busy": False, **fields}
        self.book.reported(self.clock.at, EngineReport("b1", **fields))
        self.updates.send_changes()

    def receive(self, update):
        self.stream.last_received_at = self.clock.at
        self.updates.received(update, self.stream)

    def entry_update(self, in_use=2, collect=False):
        update = Update(sender="e1", begins=True)
        demands = {"tutor": Demand(rate=1.0)}
        update.entry.CopyFrom(
            message_codec.entry_message(demands, {"tutor": in_use}, collect)
        )
        return update

    def fill(self):
        update = Update()
        self.updates.fill(update, self.stream)
        return update

    def in_use(self):
        return self.book.state(self.clock.at).in_use.get("tutor", 0)

    def test_a_report_received_before_the_configuration_is_kept(self):
        self.receive(self.entry_update())
        self.begin()
        self.assertEqual(self.in_use(), 2)
        self.assertTrue(self.updates.has_live_entry())

    def test_heartbeats_keep_an_entrys_report_valid(self):
        self.begin()
        self.receive(self.entry_update())
        for _ in range(5):
            self.clock.at += 1.2
            self.receive(Update())
            self.book.next_order(self.clock.at)
        self.assertEqual(self.in_use(), 2)

    def test_a_heartbeat_restores_the_report_of_a_silent_entry(self):
        """Symptom: an agent doesn't count the calls of an entry.

        The entry is frozen for some seconds and then continues on the same stream,
        without sending its report again.
        """
        self.begin()
        self.receive(self.entry_update(collect=True))
        self.clock.at += ENTRY_TIMEOUT_S + 0.1
        self.updates.send_changes()
        self.book.next_order(self.clock.at)
        self.assertEqual(self.in_use(), 0)
        self.assertFalse(self.updates.has_live_entry())
        self.receive(Update())
        self.assertEqual(self.in_use(), 2)
        self.assertTrue(self.fill().collected)

    def test_a_restarted_entry_discards_its_predecessors_report(self):
        self.begin()
        self.receive(self.entry_update())
        self.receive(Update(sender="e1", begins=True))
        self.clock.at += ENTRY_TIMEOUT_S + 0.1
        self.receive(Update())
        self.assertFalse(self.updates.has_live_entry())

    def test_unchanged_state_is_sent_once(self):
        self.begin()
        self.assertTrue(self.fill().HasField("engine"))
        self.clock.at += 5.0
        self.report()
        self.assertEqual(self.fill().ByteSize(), 0)

    def test_load_figures_are_delayed_and_models_are_sent_at_once(self):
        self.begin()
        self.fill()
        self.report(running=1)
        self.assertEqual(self.fill().ByteSize(), 0)
        self.clock.at += 0.5
        self.report(running=1)
        self.assertEqual(self.fill().engine.running, 1)
        self.report(holdings={"tutor": frozenset(), "poet": frozenset()})
        self.assertEqual(len(self.fill().engine.holdings), 2)

    def test_load_figures_are_sent_less_often_to_many_entries(self):
        """Symptom: an agent spends a quarter of a core on sending load figures.

        Each change of a load figure was sent twice per second to each of 68 entries.
        """
        self.begin()
        for number in range(60):
            stream = Stream(f"e{number}")
            stream.last_received_at = self.clock.at
            self.updates.received(self.entry_update(in_use=0), stream)
        self.fill()
        self.clock.at += 0.5
        self.report(running=1)
        self.assertEqual(self.fill().ByteSize(), 0)
        self.clock.at += 0.25
        self.report(running=1)
        self.assertEqual(self.fill().engine.running, 1)

    def add_idle_entries(self, count=30):
        """Adds streams of entries without calls for any model, and returns them."""
        others = [Stream(f"other-{number}") for number in range(count)]
        for stream in others:
            stream.last_received_at = self.clock.at
            update = Update(sender=stream.peer, begins=True)
            update.entry.CopyFrom(message_codec.entry_message({}, {}, False))
            self.updates.received(update, stream)
        self.streams.all += others
        self.clock.at += 0.01
        return others

    def report_loaded(self, model="poet"):
        """Has the engine hold one more model, and resets the counts of updates."""
        held = dict.fromkeys(("tutor", model), frozenset())
        for stream in self.streams.all:
            stream.sent = 0
        self.report(holdings=held)

    def test_a_load_is_sent_later_to_entries_without_interest_in_it(self):
        """Symptom: processes of a large fleet spend most of their time on streams.

        Each load, and each step of it, was sent at once to all of 68 entries, of which
        a few are planners and one or two have calls for the model.
        """
        self.begin()
        others = self.add_idle_entries()
        self.report_loaded()
        self.assertLessEqual(sum(stream.sent > 0 for stream in others), 4)
        self.clock.at += 1.0
        self.report(holdings=dict.fromkeys(("tutor", "poet"), frozenset()))
        self.assertTrue(all(stream.sent for stream in others))

    def test_a_load_is_sent_at_once_to_an_entry_with_calls_for_it(self):
        self.begin()
        self.receive(self.entry_update())
        self.add_idle_entries()
        self.report_loaded("poet")
        self.stream.report = EntryReport({"clerk": Demand(rate=0.1)}, {}, False)
        self.report_loaded("clerk")
        self.assertTrue(self.stream.sent)

    def test_an_entry_that_requested_a_load_is_updated_at_once(self):
        self.begin()
        other = self.add_idle_entries()[0]
        self.report_loaded()
        other.sent = 0
        update = Update()
        message_codec.add_load_request(update, LoadRequest("poet"))
        self.updates.received(update, other)
        self.assertTrue(other.sent)
        self.report_loaded("clerk")
        self.assertTrue(other.sent)

    def test_an_unload_is_sent_to_all_at_once(self):
        """Symptom: a call fails as its engine has just unloaded the model.

        It isn't retried.
        """
        self.begin()
        others = self.add_idle_entries()
        for stream in others:
            stream.sent = 0
        self.report(holdings={})
        self.assertTrue(all(stream.sent for stream in others))

    def test_engine_loss_and_the_right_to_order_are_sent_at_once(self):
        self.begin()
        self.assertFalse(self.fill().engine.orderable)
        self.updates.set_can_order(True)
        self.assertTrue(self.fill().engine.orderable)
        self.updates.set_engine_responsive(False)
        self.assertTrue(self.fill().engine.silent)

    def test_a_new_stream_gets_copies_too(self):
        self.begin()
        self.report(on_disk=frozenset({"poet"}))
        self.clock.at += 1.0
        self.report(on_disk=frozenset({"poet"}))
        self.fill()
        self.stream = Stream("e1")
        self.assertEqual(list(self.fill().engine.on_disk), ["poet"])
