"""When the bounded set of peers is chosen anew."""

import random
import unittest
from unittest import mock

from bambootiller_core import _peerset
from bambootiller_core.membership import Membership, Statement, Status
from bambootiller_core.types import Member, Role

FLEET = 60


def member(number, incarnation=1):
    name = f"i-{number}"
    return Member(name, Role.AGENT, "az-1", "r1", f"127.0.0.1:{number}", incarnation)


def stated(number, status, incarnation=1):
    return Statement(member(number, incarnation), status)


class PeerChoiceTests(unittest.TestCase):
    def setUp(self):
        self.membership = Membership(member(0), random.Random(1))
        alive = [stated(number, Status.ALIVE) for number in range(1, FLEET)]
        self.membership.merge(0.0, alive)
        self.peers = {peer.instance for peer in self.membership.peers()}

    def numbers(self, among_peers):
        every = range(1, FLEET)
        return [one for one in every if (f"i-{one}" in self.peers) is among_peers]

    def test_the_deaths_of_others_cost_no_new_choice_and_change_no_peer(self):
        """Symptom: a process is busy for seconds when a zone is lost.

        Sequence: many members that are no peers of this process die. Cause: all members
        were ranked anew after each death.
        """
        with mock.patch.object(_peerset, "choose", wraps=_peerset.choose) as choose:
            for number in self.numbers(among_peers=False):
                self.membership.merge(1.0, [stated(number, Status.DEAD)])
                self.membership.peers()
        choose.assert_not_called()
        self.assertEqual({one.instance for one in self.membership.peers()}, self.peers)

    def test_a_dead_peer_is_replaced(self):
        number = self.numbers(among_peers=True)[0]
        self.membership.merge(1.0, [stated(number, Status.DEAD)])
        after = {peer.instance for peer in self.membership.peers()}
        self.assertNotIn(f"i-{number}", after)
        self.assertEqual(len(after), len(self.peers))

    def test_the_choice_is_the_same_whatever_happened_before_it(self):
        for number in self.numbers(among_peers=False)[:9]:
            self.membership.merge(1.0, [stated(number, Status.DEAD)])
            self.membership.merge(2.0, [stated(number, Status.ALIVE, 2)])
        self.assertEqual({one.instance for one in self.membership.peers()}, self.peers)


if __name__ == "__main__":
    unittest.main()
