"""The order of service."""

import unittest

from bambootiller_core.invariants import InvariantBroken
from bambootiller_core.waiting import WaitingLine
from tests.policy.requests import a_request


class WaitingLineTest(unittest.TestCase):
    def test_priority_goes_before_deadline_and_deadline_before_standing(self):
        line = WaitingLine()
        waiting = [
            a_request(request_id="late", priority=1, deadline=20.0),
            a_request(request_id="other", priority=5, deadline=5.0),
            a_request(request_id="soon", priority=1, deadline=10.0),
            a_request(
                request_id="soon and high", priority=1, deadline=10.0, standing=3
            ),
        ]
        for req in waiting:
            line.add(0.0, req)
        order = [line.pop(0.0).request_id for _ in waiting]
        self.assertEqual(order, ["soon and high", "soon", "late", "other"])
        self.assertIsNone(line.pop(0.0))

    def test_batch_work_gets_its_share_and_no_more_while_others_wait(self):
        line = WaitingLine(batch_share=0.2)
        for _ in range(40):
            line.add(0.0, a_request(priority=0))
            line.add(0.0, a_request(priority=9, batch=True))
        popped = [line.pop(0.0).batch for _ in range(40)]
        self.assertEqual(sum(popped), 8)

    def test_batch_work_gets_everything_while_nobody_else_waits(self):
        line = WaitingLine(batch_share=0.0)
        line.add(0.0, a_request(batch=True, request_id="alone"))
        self.assertEqual(line.pop(0.0).request_id, "alone")

    def test_a_request_past_its_deadline_is_handed_out_as_expired_and_never_popped(
        self,
    ):
        line = WaitingLine()
        line.add(0.0, a_request(request_id="gone", deadline=1.0))
        line.add(0.0, a_request(request_id="here", deadline=9.0))
        self.assertEqual(line.next_deadline(), 1.0)
        self.assertEqual(line.pop(2.0).request_id, "here")
        self.assertIsNone(line.pop(2.0))
        self.assertEqual([req.request_id for req in line.expired(2.0)], ["gone"])
        self.assertEqual(len(line), 0)

    def test_the_same_request_can_not_wait_twice(self):
        line = WaitingLine()
        req = a_request()
        line.add(0.0, req)
        with self.assertRaises(InvariantBroken):
            line.add(1.0, req)
