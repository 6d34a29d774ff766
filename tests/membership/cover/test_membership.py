"""What one process concludes from probes, statements and the instance list."""

import unittest

from bambootiller_core.membership import MemberView, Probe, ProbeThrough, Status
from tests.membership.common.builders import LONG, Clock, member, membership, said


class TestStatements(unittest.TestCase):
    def test_a_graver_status_wins_at_the_same_incarnation(self):
        process = membership("a")
        for status in (Status.SUSPECT, Status.LEAVING, Status.DEAD):
            process.merge(1.0, [said("a", status)])
            self.assertIs(process.status_of("a"), status)
        process.merge(1.0, [said("a", Status.ALIVE)])
        self.assertIs(process.status_of("a"), Status.DEAD)

    def test_a_higher_incarnation_wins_over_any_status(self):
        process = membership("a")
        process.merge(1.0, [said("a", Status.DEAD, 4)])
        process.merge(1.0, [said("a", Status.ALIVE, 5)])
        self.assertIs(process.status_of("a"), Status.ALIVE)

    def test_a_suspicion_never_hides_that_a_member_is_leaving(self):
        process = membership("a")
        process.merge(1.0, [said("a", Status.LEAVING)])
        process.merge(1.0, [said("a", Status.SUSPECT)])
        self.assertIs(process.status_of("a"), Status.LEAVING)

    def test_a_death_of_somebody_unknown_is_not_held(self):
        process = membership()
        self.assertEqual(process.merge(1.0, [said("a", Status.DEAD)]), [])
        self.assertIsNone(process.status_of("a"))

    def test_only_news_is_passed_on_and_listeners_hear_it(self):
        process = membership("a")
        passed, heard = [], []
        process.on_news = passed.append
        process.subscribe(heard.append)
        suspicion = said("a", Status.SUSPECT)
        process.merge(1.0, [suspicion, suspicion])
        self.assertEqual(passed, [suspicion])
        self.assertEqual(heard, [MemberView(suspicion.member, Status.SUSPECT)])

    def test_digests_are_equal_exactly_where_the_views_of_the_living_are(self):
        one, two = membership("a", "b"), membership("b", "a")
        self.assertEqual(one.digest(), two.digest())
        one.merge(1.0, [said("b", Status.LEAVING, 2)])
        self.assertNotEqual(one.digest(), two.digest())
        one.merge(1.0, [said("b", Status.DEAD, 2)])
        two.merge(1.0, [said("b", Status.DEAD, 1)])
        self.assertEqual(one.digest(), two.digest())


class TestOwnStatement(unittest.TestCase):
    def test_a_suspicion_of_this_process_is_refuted_by_a_higher_incarnation(self):
        process = membership("a")
        process.merge(1.0, [said("me", Status.SUSPECT, 1)])
        self.assertEqual(process.me.incarnation, 2)
        self.assertIs(process.own.status, Status.ALIVE)

    def test_the_trace_of_an_earlier_process_is_outbid(self):
        process = membership("a")
        process.merge(1.0, [said("me", Status.LEAVING, 9)])
        self.assertEqual(process.me.incarnation, 10)
        self.assertIs(process.own.status, Status.ALIVE)

    def test_leaving_outbids_what_was_said_before_and_stays(self):
        process, other = membership("a"), membership("me", me="a")
        process.leave()
        process.merge(1.0, [said("me", Status.DEAD, 2)])
        other.merge(1.0, [process.own])
        self.assertIs(other.status_of("me"), Status.LEAVING)
        self.assertIs(process.own.status, Status.LEAVING)

    def test_two_processes_of_one_name_do_not_outbid_each_other_without_end(self):
        process = membership("a")
        for _ in range(50):
            mine = process.me.incarnation
            process.merge(1.0, [said("me", Status.SUSPECT, mine)])
        self.assertEqual(process.me.incarnation, 2)


class TestProbes(unittest.TestCase):
    def test_each_peer_is_probed_once_in_a_round(self):
        clock = Clock(membership("a", "b", "c"))
        clock.run(3.0)
        self.assertEqual(sorted(clock.probed), ["a", "b", "c"])

    def test_a_failed_probe_is_tried_through_others_before_any_suspicion(self):
        process = membership("a", "b")
        probe = next(one for one in process.tick(1.0) if isinstance(one, Probe))
        indirect = process.probe_failed(1.5, probe.number)
        self.assertIsInstance(indirect[0], ProbeThrough)
        self.assertIs(process.status_of(probe.member.instance), Status.ALIVE)
        process.probe_answered(1.7, indirect[0].number)
        self.assertIs(process.status_of(probe.member.instance), Status.ALIVE)

    def test_a_silent_member_is_suspected_and_then_dead(self):
        clock = Clock(membership("a", "b", "c", "d"), silent={"a"})
        seen = []
        clock.process.subscribe(lambda view: seen.append(view.status))
        clock.run(LONG)
        self.assertEqual(seen, [Status.SUSPECT, Status.DEAD])

    def test_a_silent_leaving_member_stays_leaving_until_it_is_dead(self):
        clock = Clock(membership("a", "b", "c", "d"), silent={"a"})
        clock.process.merge(0.0, [said("a", Status.LEAVING)])
        seen = []
        clock.process.subscribe(lambda view: seen.append(view.status))
        clock.run(LONG)
        self.assertEqual(seen, [Status.DEAD])

    def test_a_dead_member_is_probed_again_so_that_a_partition_heals(self):
        clock = Clock(membership("a", "b", "c"), silent={"a"})
        clock.run(LONG)
        clock.probed.clear()
        clock.run(10.0)
        self.assertIn("a", clock.probed)

    def test_a_dead_member_is_forgotten_in_the_end(self):
        clock = Clock(membership("a", "b", "c"), silent={"a"})
        clock.run(clock.process.cfg.forget_dead + LONG, step=0.5)
        self.assertIsNone(clock.process.status_of("a"))

    def test_a_call_that_failed_elsewhere_brings_the_probe_forward(self):
        process = membership(*"abcdefgh")
        for name in ("c", "f"):
            process.probe_soon(name)
        clock = Clock(process)
        clock.run(2.0)
        self.assertEqual(clock.probed, ["c", "f"])

    def test_the_peers_are_bounded_however_large_the_fleet(self):
        process = membership(*(f"n-{number}" for number in range(500)))
        sizes = process.cfg.sizes
        most = sizes.ring + sizes.near + sizes.far
        self.assertLessEqual(len(process.peers()), most)


class TestInstanceList(unittest.TestCase):
    def test_a_listed_process_becomes_a_member_only_by_its_own_word(self):
        clock = Clock(membership())
        clock.process.listed([member("a", 0)], ())
        self.assertIsNone(clock.process.status_of("a"))
        clock.run(1.0)
        self.assertEqual(clock.probed, ["a"])
        clock.process.merge(clock.now, [said("a")])
        self.assertIs(clock.process.status_of("a"), Status.ALIVE)
        self.assertEqual(clock.process.candidates(), ())

    def test_a_member_that_the_list_lacks_stays_alive_while_it_answers(self):
        clock = Clock(membership("a", "b"))
        clock.process.listed([member("b", 0)], ())
        clock.run(LONG)
        self.assertIs(clock.process.status_of("a"), Status.ALIVE)

    def test_a_listed_member_that_does_not_answer_is_dead(self):
        clock = Clock(membership("a", "b", "c"), silent={"a"})
        for _ in range(60):
            clock.process.listed([member("a", 0), member("b", 0)], ())
            clock.run(1.0)
        self.assertIs(clock.process.status_of("a"), Status.DEAD)

    def test_a_member_that_the_list_shows_as_leaving_is_leaving(self):
        process = membership("a")
        process.listed([member("a", 0)], ["a"])
        self.assertIs(process.status_of("a"), Status.LEAVING)
        process.listed([member("a", 0)], [])
        self.assertIs(process.status_of("a"), Status.ALIVE)
