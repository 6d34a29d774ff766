"""The instance list, the plain service, the weight store and the metrics sink."""

import asyncio
import socket

import aiohttp

from bambootiller_standins.instancelist import InstanceList, ListedInstance
from bambootiller_standins.plainservice import PlainService
from bambootiller_standins.statsd import StatsdSink
from bambootiller_standins.testing import StandInTestCase, eventually
from bambootiller_standins.weightstore import WeightStore


def _listed(*addresses):
    return [ListedInstance(targets=[address]).model_dump() for address in addresses]


class InstanceListTests(StandInTestCase):
    async def test_the_first_list_shows_at_once_and_later_ones_lag(self):
        listing = await self.started(InstanceList(lag_ms=60_000))
        await self._put(listing, _listed("127.0.0.1:1"))
        await self._put(listing, _listed("127.0.0.1:2"))
        shown = await self.get(listing.url + "/instances")
        self.assertEqual(shown, _listed("127.0.0.1:1"))
        await self.post(listing.url + "/control", {"lag_ms": 0})
        shown = await self.get(listing.url + "/instances")
        self.assertEqual(shown, _listed("127.0.0.1:2"))

    async def test_a_list_that_is_down_does_not_answer(self):
        listing = await self.started(InstanceList())
        await self.post(listing.url + "/control", {"mode": "down"})
        with self.assertRaises(aiohttp.ClientError):
            await self.get(listing.url + "/instances")

    async def test_a_malformed_list_is_refused_by_name_of_the_field(self):
        listing = await self.started(InstanceList())
        url = listing.url + "/control/instances"
        async with self.session.put(url, json=[{"labels": {}}]) as response:
            self.assertEqual(response.status, 400)
            self.assertIn("targets", await response.text())

    async def _put(self, listing, body):
        url = listing.url + "/control/instances"
        async with self.session.put(url, json=body) as response:
            self.assertEqual(response.status, 200)


class PlainServiceTests(StandInTestCase):
    async def test_each_run_is_counted_by_its_key(self):
        service = await self.started(PlainService())
        for _ in range(2):
            await self.post(service.url + "/push", {"id": "p-1"})
        headers = {"Idempotency-Key": "p-2"}
        url = service.url + "/push?x=1"
        async with self.session.put(url, data=b"abc", headers=headers) as response:
            answer = await response.json()
        self.assertEqual((answer["echo"], answer["number"]), ("abc", 3))
        runs = await self.get(service.url + "/control/runs")
        self.assertEqual(runs, {"p-1": 2, "p-2": 1})

    async def test_a_call_runs_even_if_its_caller_goes_away(self):
        service = await self.started(PlainService(before_ms=50))
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(self.post(service.url, {"id": "p"}), 0.02)
        await eventually(lambda: service.runs["p"] == 1, "the call has run")


class WeightStoreTests(StandInTestCase):
    async def test_transfers_slow_down_above_the_number_at_full_speed(self):
        store = await self.started(WeightStore(full_speed=2))
        store.speed = 0
        for number in range(4):
            url = f"{store.url}/weights/m{number}?work_ms=1"
            task = asyncio.create_task(self.get(url))
            self.addCleanup(task.cancel)
        await eventually(lambda: store.most_at_once == 4, "all four run")
        store.speed = 1.0
        self.assertEqual(store.transfer_speed(), 0.5)
        await eventually(lambda: store.finished == 4, "all are through")

    async def test_a_closed_connection_ends_its_transfer(self):
        store = await self.started(WeightStore())
        task = asyncio.create_task(self.get(store.url + "/weights/m?work_ms=60000"))
        await eventually(lambda: store.started == 1)
        task.cancel()

        async def ended():
            return (await self.get(store.url + "/control"))["running"] == 0

        await eventually(ended, "no transfer runs")


class StatsdSinkTests(StandInTestCase):
    async def test_each_kind_of_metric_is_added_up(self):
        sink = await self.started(StatsdSink())
        packet = b"a:1|c\na:1|c|@0.5\ng:5|g\ng:-2|g\nt:3|ms\nt:7|ms\nnonsense"
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(packet, (sink.host, sink.udp_port))
        await eventually(lambda: sink.totals.packets == 1, "the packet came")
        totals = await self.get(sink.url + "/totals")
        self.assertEqual(totals["counters"], {"a": 3.0})
        self.assertEqual(totals["gauges"], {"g": 3.0})
        self.assertEqual(totals["timers"]["t"], {"count": 2, "sum": 10.0, "max": 7.0})
        self.assertEqual(totals["malformed"], 1)
