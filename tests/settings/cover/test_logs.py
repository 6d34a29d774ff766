"""Log lines and metrics: their form, and that neither can end a request."""

import asyncio
import io
import json
import logging
import socket
import unittest

from bambootiller import logs
from bambootiller.metrics import Metrics


class Closed(io.StringIO):
    """A stream whose reader has gone."""

    def write(self, text):
        raise BrokenPipeError


class TestLogs(unittest.TestCase):
    def setUp(self):
        self.stream = io.StringIO()
        logs.configure("info", "i-1", self.stream)
        self.addCleanup(logs.configure, "critical", "tests")
        self.log = logs.logger("part")

    def lines(self):
        return [json.loads(line) for line in self.stream.getvalue().splitlines()]

    def test_each_line_has_the_same_fields_whether_they_are_bound_or_not(self):
        self.log.info("plain")
        with logs.fields(request="r-1", customer="forge"):
            with logs.fields(model="tutor"):
                self.log.warning("chose {} of {}", 1, 3)
        plain, bound = self.lines()
        self.assertEqual(set(plain), set(bound))
        self.assertIsNone(plain["request"])
        self.assertEqual(bound["message"], "chose 1 of 3")
        self.assertEqual(
            [bound[name] for name in ("instance", *logs.FIELDS, "level", "logger")],
            ["i-1", "r-1", "forge", "tutor", "warning", "part"],
        )

    def test_requests_that_interleave_keep_their_own_fields(self):
        async def serve(name):
            with logs.fields(request=name):
                await asyncio.sleep(0)
                self.log.info("from {}", name)

        async def both():
            await asyncio.gather(serve("a"), serve("b"))

        asyncio.run(both())
        self.assertEqual(
            [(line["request"], line["message"]) for line in self.lines()],
            [("a", "from a"), ("b", "from b")],
        )

    def test_lines_below_the_level_are_left_out(self):
        self.log.debug("no")
        self.assertEqual(self.lines(), [])

    def test_lines_of_the_standard_library_come_out_in_the_same_form(self):
        logging.getLogger("other").warning("from %s", "outside")
        (line,) = self.lines()
        self.assertEqual((line["logger"], line["message"]), ("other", "from outside"))

    def test_an_exception_stays_on_one_line(self):
        try:
            raise KeyError("x")
        except KeyError:
            self.log.exception("it broke")
        (line,) = self.lines()
        self.assertIn("KeyError", line["exception"])

    def test_a_stream_whose_reader_has_gone_raises_nothing(self):
        logs.configure("info", "i-1", Closed())
        self.log.info("lost")

    def test_an_unknown_field_is_refused_with_what_is_allowed(self):
        with self.assertRaisesRegex(TypeError, "'zone'; allowed: request, customer"):
            with logs.fields(zone="az-1"):
                pass


class TestMetrics(unittest.TestCase):
    def test_values_arrive_under_safe_names(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sink:
            sink.bind(("127.0.0.1", 0))
            sink.settimeout(10)
            metrics = Metrics("127.0.0.1", sink.getsockname()[1], "b")
            metrics.incr("refused.a:b|c", 2)
            metrics.timing("wait_ms", 1.5)
            metrics.gauge("free", 7)
            got = [sink.recv(512).decode() for _ in range(3)]
            metrics.close()
        self.assertEqual(
            got, ["b.refused.a_b_c:2|c", "b.wait_ms:1.500000|ms", "b.free:7|g"]
        )

    def test_without_an_address_nothing_happens(self):
        Metrics(None, 0, "b").incr("x")

    def test_a_collector_that_is_away_or_unknown_raises_nothing(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sink:
            sink.bind(("127.0.0.1", 0))
            port = sink.getsockname()[1]
        metrics = Metrics("127.0.0.1", port, "b")
        for _ in range(3):
            metrics.gauge("x", 1)
        metrics.close()
        metrics.gauge("x", 1)
        Metrics("no-such-host.invalid", 1, "b").incr("x")
