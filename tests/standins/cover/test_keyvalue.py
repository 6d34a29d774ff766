"""The key-value service against the published interface."""

import asyncio
import json
import unittest

from bambootiller_standins.keyvalue import KeyValueService
from bambootiller_standins.testing import StandInTestCase, decode, encode, eventually

MEGABYTE = 1024 * 1024


class KeyValueTestCase(StandInTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.service = await self.started(KeyValueService())

    async def call(self, path, **body):
        return await self.post(f"{self.service.url}/v3/{path}", body)

    async def put(self, key, value, **fields):
        body = {"key": encode(key), "value": encode(value)} | fields
        return await self.call("kv/put", **body)

    async def read(self, key, **fields):
        return await self.call("kv/range", key=encode(key), **fields)

    async def create(self, key, value):
        return await self.call(
            "kv/txn",
            compare=[{"key": encode(key), "target": "CREATE", "create_revision": "0"}],
            success=[{"request_put": {"key": encode(key), "value": encode(value)}}],
            failure=[{"requestRange": {"key": encode(key)}}],
        )


class KeysTests(KeyValueTestCase):
    async def test_a_put_key_reads_back_with_its_revisions(self):
        await self.put("/a", "one")
        put = await self.put("/a", "two")
        answer = await self.read("/a")
        (kv,) = answer["kvs"]
        self.assertEqual(decode(kv["value"]), "two")
        self.assertEqual(kv["mod_revision"], put["header"]["revision"])
        self.assertEqual(int(kv["create_revision"]) + 1, int(kv["mod_revision"]))
        self.assertEqual(kv["version"], "2")

    async def test_a_prefix_reads_in_key_order_with_limit_and_count(self):
        for key in ("/a/2", "/b/1", "/a/1", "/a/3"):
            await self.put(key, key)
        answer = await self.read("/a/", range_end=encode("/a0"), limit=2)
        found = [decode(kv["key"]) for kv in answer["kvs"]]
        self.assertEqual(found, ["/a/1", "/a/2"])
        self.assertEqual((answer["count"], answer["more"]), ("3", True))

    async def test_an_earlier_revision_can_still_be_read(self):
        first = await self.put("/a", "one")
        await self.put("/a", "two")
        answer = await self.read("/a", revision=first["header"]["revision"])
        self.assertEqual(decode(answer["kvs"][0]["value"]), "one")

    async def test_a_deleted_range_is_gone(self):
        await self.put("/a/1", "x")
        await self.put("/b", "y")
        answer = await self.call(
            "kv/deleterange", key=encode("/a/"), range_end=encode("/a0")
        )
        self.assertEqual(answer["deleted"], "1")
        self.assertNotIn("kvs", await self.read("/a/1"))
        self.assertIn("kvs", await self.read("/b"))

    async def test_a_value_of_a_megabyte_is_taken_and_a_larger_one_refused(self):
        await self.put("/a", "x" * MEGABYTE)
        body = {"key": encode("/a"), "value": encode("x" * (MEGABYTE + 1))}
        url = self.service.url + "/v3/kv/put"
        async with self.session.post(url, json=body) as response:
            self.assertEqual(response.status, 400)
            self.assertEqual((await response.json())["code"], 3)
        self.assertEqual((await self.read("/a"))["kvs"][0]["version"], "1")


class TransactionTests(KeyValueTestCase):
    async def test_only_the_first_of_two_creations_succeeds(self):
        first = await self.create("/a", "one")
        second = await self.create("/a", "two")
        self.assertTrue(first["succeeded"])
        self.assertNotIn("succeeded", second)
        (kv,) = second["responses"][0]["response_range"]["kvs"]
        self.assertEqual(decode(kv["value"]), "one")

    async def test_all_writes_of_a_transaction_share_one_revision(self):
        puts = [
            {"request_put": {"key": encode(key), "value": encode("x")}}
            for key in ("/a", "/b")
        ]
        await self.call("kv/txn", success=puts)
        answer = await self.read("/", range_end=encode("0"))
        revisions = {kv["mod_revision"] for kv in answer["kvs"]}
        self.assertEqual(len(revisions), 1)

    async def test_each_target_and_relation_compares_as_published(self):
        put = await self.put("/a", "one")
        revision = put["header"]["revision"]
        cases = [
            ({"target": "MOD", "mod_revision": revision}, True),
            ({"target": "MOD", "result": "GREATER", "mod_revision": revision}, False),
            ({"target": "VERSION", "version": "1"}, True),
            ({"target": "VERSION", "result": "LESS", "version": "2"}, True),
            ({"target": "VALUE", "value": encode("one")}, True),
            ({"target": "VALUE", "result": "NOT_EQUAL", "value": encode("x")}, True),
            ({"target": "CREATE", "create_revision": "0"}, False),
        ]
        for cond, holds in cases:
            with self.subTest(cond=cond):
                cond = cond | {"key": encode("/a")}
                answer = await self.call("kv/txn", compare=[cond])
                self.assertEqual(answer.get("succeeded", False), holds)

    async def test_a_key_put_twice_refuses_the_whole_transaction(self):
        put = {"request_put": {"key": encode("/a"), "value": encode("x")}}
        url = self.service.url + "/v3/kv/txn"
        body = {"success": [put, put]}
        async with self.session.post(url, json=body) as response:
            self.assertEqual(response.status, 400)
        self.assertNotIn("kvs", await self.read("/a"))


class LeaseTests(KeyValueTestCase):
    async def test_a_key_goes_with_its_lease(self):
        lease = await self.call("lease/grant", TTL="1")
        await self.put("/a", "x", lease=lease["ID"])
        self.assertIn("kvs", await self.read("/a"))

        async def gone():
            return "kvs" not in await self.read("/a")

        await eventually(gone, "the lease's key is deleted")
        alive = await self.call("lease/keepalive", ID=lease["ID"])
        self.assertNotIn("TTL", alive["result"])

    async def test_a_revoked_lease_takes_its_keys_along_and_refuses_new_ones(self):
        lease = await self.call("lease/grant", TTL=60)
        await self.put("/a", "x", lease=lease["ID"])
        await self.call("lease/revoke", ID=lease["ID"])
        self.assertNotIn("kvs", await self.read("/a"))
        body = {"key": encode("/a"), "lease": lease["ID"]}
        url = self.service.url + "/v3/kv/put"
        async with self.session.post(url, json=body) as response:
            self.assertEqual(response.status, 404)


class WatchTests(KeyValueTestCase):
    async def watch(self, *creates):
        text = "\n".join(json.dumps({"create_request": one}) for one in creates)
        response = await self.session.post(self.service.url + "/v3/watch", data=text)
        self.addCleanup(response.close)
        for _ in creates:
            self.assertTrue((await self.message(response))["created"])
        return response

    async def message(self, response):
        line = await asyncio.wait_for(response.content.readline(), 30)
        return json.loads(line)["result"]

    async def test_a_watch_tells_puts_and_deletes_of_its_range_in_order(self):
        response = await self.watch({"key": encode("/a/"), "range_end": encode("/a0")})
        await self.put("/b", "not watched")
        put = await self.put("/a/1", "one")
        await self.call("kv/deleterange", key=encode("/a/1"))
        (first,) = (await self.message(response))["events"]
        (second,) = (await self.message(response))["events"]
        self.assertEqual(decode(first["kv"]["value"]), "one")
        self.assertEqual(first["kv"]["mod_revision"], put["header"]["revision"])
        self.assertNotIn("type", first)
        self.assertEqual(second["type"], "DELETE")

    async def test_a_watch_from_an_earlier_revision_misses_nothing(self):
        first = await self.put("/a", "one")
        await self.put("/a", "two")
        revision = first["header"]["revision"]
        create = {"key": encode("/a"), "start_revision": revision}
        response = await self.watch(create)
        events = (await self.message(response))["events"]
        values = [decode(event["kv"]["value"]) for event in events]
        self.assertEqual(values, ["one", "two"])

    async def test_one_call_can_watch_several_ranges(self):
        response = await self.watch(
            {"key": encode("/a"), "watch_id": 7}, {"key": encode("/b"), "watch_id": 8}
        )
        await self.put("/b", "x")
        self.assertEqual((await self.message(response))["watch_id"], "8")

    async def test_a_watch_from_a_compacted_revision_is_canceled(self):
        first = await self.put("/a", "one")
        second = await self.put("/a", "two")
        revision = first["header"]["revision"]
        await self.call("kv/compaction", revision=second["header"]["revision"])
        body = {"create_request": {"key": encode("/a"), "start_revision": revision}}
        url = self.service.url + "/v3/watch"
        response = await self.session.post(url, json=body)
        self.addCleanup(response.close)
        message = await self.message(response)
        self.assertTrue(message["canceled"])
        self.assertEqual(message["compact_revision"], second["header"]["revision"])

    async def test_a_closed_watch_is_no_longer_counted(self):
        response = await self.watch({"key": encode("/a")})
        self.assertEqual((await self.get(self.service.url + "/control"))["watches"], 1)
        response.close()
        await eventually(lambda: self.service.counts.watches == 0, "no open watch")


if __name__ == "__main__":
    unittest.main()
