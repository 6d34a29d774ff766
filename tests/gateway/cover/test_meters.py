"""Metrics counted from log lines, and the page that serves them."""

import asyncio
import unittest
from dataclasses import fields, replace
from unittest import mock

from bambootiller.gateway.event_log import EventLog
from bambootiller.gateway.meters import MAX_LABEL_VALUES, Meters
from bambootiller.gateway.metrics_page import MAX_HEAD_BYTES, MetricsPage
from bambootiller.settings import Address
from bambootiller_core.gateway import log_lines as lines
from tests.gateway.common import samples


def sample(kind):
    """A log line of that kind with some value in each field."""
    values = {"int": 1, "float": 1.0, "bool": True, "str": "x"}
    given = {
        item.name: values.get(item.type.partition(" ")[0], {}) for item in fields(kind)
    }
    return kind(**given)


class TestMeters(unittest.TestCase):
    def setUp(self):
        self.meters = Meters()

    def value(self, name, **labels):
        return self.meters.registry.get_sample_value(f"bambootiller_{name}", labels)

    def test_a_refusal_counts_by_route_and_by_reason(self):
        self.meters.count(samples.refused())
        self.assertEqual(
            self.value("requests_total", route="r", kind="stream", outcome="refused"), 1
        )
        self.assertEqual(
            self.value("refusals_total", reason="overloaded", status="503"), 1
        )
        self.assertEqual(self.value("refusal_held_seconds_sum"), 0.12)

    def test_a_load_counts_by_its_source(self):
        self.meters.count(lines.LoadEnded("tutor", True, 6.4, from_store=True))
        self.assertEqual(self.value("load_seconds_sum", tier="store", held="yes"), 6.4)

    def test_a_model_that_is_refused_repeatedly_counts_until_it_is_served(self):
        refused = replace(samples.refused(), model="tutor")
        with mock.patch("time.monotonic", return_value=100.0):
            self.meters.count(refused)
        with mock.patch("time.monotonic", return_value=109.0):
            self.assertEqual(self.value("models_unserved", seconds="8"), 1)
            self.assertEqual(self.value("models_unserved", seconds="16"), 0)
            self.assertEqual(self.value("oldest_unserved_seconds"), 9.0)
            self.meters.count(
                replace(sample(lines.Answered), model="tutor", adapter="")
            )
            self.assertEqual(self.value("models_unserved", seconds="8"), 0)

    def test_load_obstacles_count_engines(self):
        plan = lines.PlanSnapshot(obstacles=lines.Obstacles(kept_for_adapters=3))
        self.meters.count(samples.refused(plan))
        kept = self.value("load_obstacles_total", obstacle="kept_for_adapters")
        self.assertEqual(kept, 3)

    def test_the_number_of_route_labels_is_bounded(self):
        for number in range(500):
            self.meters.count(samples.refused(route=f"r-{number}"))
        page = self.meters.page().decode()
        self.assertLess(
            page.count("bambootiller_requests_total{"), MAX_LABEL_VALUES + 2
        )
        self.assertEqual(
            self.value(
                "requests_total", route="other", kind="stream", outcome="refused"
            ),
            500 - MAX_LABEL_VALUES,
        )

    def test_lines_that_the_log_leaves_out_count_all_the_same(self):
        """Symptom: during a storm of refusals the metrics count only a few of them.

        The log limits the lines of a kind per second and leaves the others out.
        """
        with open("/dev/null", "wb") as sink:
            events = EventLog("i-1", sink.fileno(), per_s=5)
            events.on_line(self.meters.count)
            for _ in range(400):
                events.emit(samples.refused())
        self.assertEqual(
            self.value("refusals_total", reason="overloaded", status="503"), 400
        )

    def test_a_gauge_is_read_when_the_page_is_requested(self):
        gauge = [3]
        self.meters.add_gauge("calls_under_way", "Calls", lambda: gauge[0])
        gauge[0] = 8
        self.assertIn(b"bambootiller_calls_under_way 8.0", self.meters.page())

    def test_each_kind_of_line_can_be_counted(self):
        """Symptom: a caller that disconnects causes an exception in the entry.

        Its log line was counted by a field that lines of its kind don't have.
        """
        for kind in lines.LogLine.__subclasses__():
            with self.subTest(kind.__name__):
                self.meters.count(sample(kind))
        self.assertTrue(b"caller_gone" in self.meters.page())


class TestMetricsPage(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.page = MetricsPage(lambda: b"up 1\n", Address("127.0.0.1", 0), "/metrics")
        await self.page.start()

    async def asyncTearDown(self):
        await self.page.stop()

    async def fetch(self, data):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.page.port)
        writer.write(data)
        answer = await reader.read()
        writer.close()
        return answer

    async def test_the_page_is_at_its_path(self):
        answer = await self.fetch(b"GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n")
        self.assertTrue(answer.startswith(b"HTTP/1.1 200 OK\r\n"), answer)
        self.assertTrue(answer.endswith(b"\r\n\r\nup 1\n"), answer)

    async def test_other_requests_are_answered_with_an_error(self):
        for data, status in (
            (b"GET /other HTTP/1.1\r\n\r\n", b"404"),
            (b"POST /metrics HTTP/1.1\r\n\r\n", b"405"),
            (b"\x16\x03\x01 nonsense\r\n\r\n", b"400"),
            (b"GET /metrics HTTP/1.1\r\nx: " + b"a" * 2 * MAX_HEAD_BYTES, b"431"),
        ):
            answer = await self.fetch(data)
            self.assertEqual(answer.split(b" ")[1], status, data[:40])

    async def test_connections_without_a_request_do_not_pile_up(self):
        """Symptom: the process runs out of file descriptors.

        Connections to the metrics page that send no request were kept open for ever.
        """
        held = []
        for _ in range(20):
            held.append(await asyncio.open_connection("127.0.0.1", self.page.port))
        await asyncio.sleep(0.05)
        self.assertLessEqual(len(self.page._connections), 8)
        for _, writer in held:
            writer.close()

    async def test_a_port_in_use_disables_only_the_metrics(self):
        port_in_use = Address("127.0.0.1", self.page.port)
        second = MetricsPage(lambda: b"", port_in_use, "/metrics")
        await second.start()
        await second.stop()
