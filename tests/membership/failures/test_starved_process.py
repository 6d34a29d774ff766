"""A process that gets too little processor time: it is alive, and so are the others.

Symptom: on an overloaded machine a member that runs is held dead for a moment, like one
that has ended. Sequence: a process gets a third of its processor time, in slices; a
probe runs into one of its pauses, so it is suspected; it runs again before the
suspicion is over, hears of it and refutes it. Cause: the refutation was missing from
the answer to the message that told of the suspicion, and its push waited as many times
longer as the process judged itself unwell, so that it left after the suspicion's time.
The process's own judgements had the like fault: pauses too short to count as one each
used up the time that a suspected member has to refute.
"""

import random
import unittest

from bambootiller_core.membership import Membership, MembershipConfig, Status
from bambootiller_standins._gossip_network import Network
from tests.membership.common.builders import CFG, member, membership, said

#: The probes of the test with real processes. With them a suspicion lasts as long as a
#: push waits at rest, so a push that is slowed down comes too late.
FAST = MembershipConfig(probe_interval=0.1, probe_timeout=0.05)
#: A slice that a starved process runs, and its pauses: each is shorter than the two
#: periods that count as a pause, and together they are two thirds of the time or more.
SLICE = 0.05
PAUSES = (0.1, 0.19)
#: Most of these do count as a pause.
LONG_PAUSES = (0.25, 0.4)
SECONDS = 20.0
SEEDS = range(8)


class TestStarvedMember(unittest.TestCase):
    def test_a_member_that_runs_in_slices_is_held_dead_by_nobody(self):
        for starved in (["n-2"], ["n-0"], ["n-0", "n-1"]):
            for seed in SEEDS:
                with self.subTest(starved=starved, seed=seed):
                    self.assertEqual(_deaths(starved, seed), [])

    def test_the_answer_to_a_suspicion_refutes_it(self):
        network = _network(seed=1)
        node = network.nodes["n-0"]
        teller = network.nodes["n-1"]
        suspicion = said_of(node.membership.me, Status.SUSPECT)
        message = teller.gossip.ping("n-0").with_statements((suspicion,))
        reply = node.gossip.on_request(network.now, message).reply
        told = [one for one in reply.statements if one.instance == "n-0"]
        self.assertEqual(told, [node.membership.own])
        self.assertGreater(told[0].incarnation, suspicion.incarnation)

    def test_a_refutation_leaves_at_once_from_a_process_that_is_unwell(self):
        network = _network(seed=1)
        node = network.nodes["n-0"]
        for _ in range(6):
            node.membership.health.worse()
        bare = network.nodes["n-1"].gossip.ping("n-0")
        news = bare.with_statements((said("newcomer"),))
        self.assertTrue(node.gossip.on_request(network.now, news).effects)
        suspicion = said_of(node.membership.me, Status.SUSPECT)
        message = bare.with_statements((suspicion,))
        sends = node.gossip.on_request(network.now, message).effects
        self.assertTrue(
            any(node.membership.own in send.message.statements for send in sends)
        )


class TestStarvedJudge(unittest.TestCase):
    def test_time_that_a_process_did_not_run_is_no_silence_of_others(self):
        """Pauses of 1.9 periods each, and the suspect has two periods to refute."""
        judge = membership("a", "b", "c")
        judge.tick(0.5)
        judge.merge(0.5, [said("a", Status.SUSPECT)])
        judge.tick(2.4)
        judge.tick(2.6)
        self.assertIs(judge.status_of("a"), Status.SUSPECT)

    def test_a_probe_that_waited_only_while_its_process_did_not_is_repeated(self):
        judge = membership("a")
        (probe,) = judge.tick(1.0)
        judge.probe_failed(2.8, probe.number)
        self.assertIs(judge.status_of("a"), Status.ALIVE)
        again = judge.tick(2.8)
        self.assertEqual([one.member.instance for one in again], ["a"])

    def test_a_starved_process_still_finds_out_who_has_ended(self):
        """What keeps the mending from going too far: it judges later, not never."""
        network = _network(seed=3)
        died = []
        judge = network.nodes["n-2"].membership
        judge.subscribe(lambda view: died.append((view.member.instance, view.status)))
        network.kill("n-0")
        _starve(network, ["n-2"], seed=3)
        self.assertIn(("n-0", Status.DEAD), died)
        self.assertNotIn(("n-1", Status.DEAD), died)

    def test_pauses_that_follow_each_other_do_not_put_a_death_off_for_ever(self):
        """Symptom: a process that is always short of processor time sends requests to a
        member that ended long ago. Sequence: it has a pause of more than two periods,
        again and again. Cause: each pause voided all probes and let each suspicion
        begin anew, so none was ever over.
        """
        for seed in SEEDS:
            network = _network(seed)
            network.kill("n-0")
            _starve(network, ["n-1", "n-2"], seed, LONG_PAUSES)
            for judge in ("n-1", "n-2"):
                with self.subTest(judge=judge, seed=seed):
                    held = network.nodes[judge].membership.status_of("n-0")
                    self.assertIs(held, Status.DEAD)


class TestWordOfASuspect(unittest.TestCase):
    def test_a_word_from_the_suspect_itself_gives_it_time_to_refute(self):
        """It has sent a message, so it isn't dead, although it hasn't heard yet."""
        judge = membership("a", "b", "c")
        judge.merge(0.2, [said("a", Status.SUSPECT)])
        for tenth in range(3, 20, 4):
            judge.tick(tenth / 10)
        judge.heard_from(1.9, "a")
        judge.tick(2.3)
        self.assertIs(judge.status_of("a"), Status.SUSPECT)

    def test_whom_a_process_suspects_it_tells_next(self):
        judge = Membership(member("me"), random.Random(1), CFG)
        judge.tick(0.0)
        judge.merge(0.0, [said(name) for name in "abcdef"])
        probe = _first_probe(judge)
        (through,) = judge.probe_failed(1.25, probe.number)
        judge.tick(1.5)
        judge.indirect_failed(1.75, through.number, 3)
        self.assertIs(judge.status_of(probe.member.instance), Status.SUSPECT)
        told = judge.tick(1.8)[0]
        self.assertEqual(told.member, probe.member)

    def test_a_suspect_that_speaks_is_told_although_the_next_period_is_far(self):
        """It runs right now, and may not when the period is over."""
        judge = membership("a", "b", "c")
        judge.merge(0.1, [said("a", Status.SUSPECT)])
        self.assertEqual(judge.tick(0.2), [])
        judge.heard_from(0.25, "a")
        self.assertEqual([one.member.instance for one in judge.tick(0.3)], ["a"])

    def test_a_probe_from_before_a_refutation_is_no_evidence_after_it(self):
        """Sequence: two members probe one that doesn't run just then; the first one's
        suspicion reaches it as it goes on, and it refutes; then the second one's probe
        ends, sent before that, and suspects it anew. Cause: a failure is taken as
        evidence about an incarnation that began after the probe.
        """
        judge = membership("a", "b", "c")
        probe = _first_probe(judge)
        target = probe.member.instance
        (through,) = judge.probe_failed(1.25, probe.number)
        judge.merge(1.3, [said(target, Status.ALIVE, 2)])
        judge.indirect_failed(1.4, through.number, 2)
        self.assertIs(judge.status_of(target), Status.ALIVE)

    def test_a_second_accusation_right_after_a_refutation_is_refuted_later(self):
        """Cause: the least time between two refutations dropped the second one, and who
        had accused again didn't repeat it to the accused before it held it dead."""
        accused = membership("a", "b")
        accused.merge(0.1, [said("me", Status.SUSPECT, 1)])
        accused.merge(0.2, [said("me", Status.SUSPECT, 2)])
        self.assertEqual(accused.me.incarnation, 2)
        accused.tick(0.4)
        self.assertEqual(accused.me.incarnation, 2)
        accused.tick(0.65)
        self.assertEqual(accused.me.incarnation, 3)


def said_of(me, status):
    """The statement that a member, as it knows itself, has a status."""
    return said(me.instance, status, me.incarnation)


def _first_probe(judge: Membership):
    """The probe that a lone process begins after its first period."""
    for quarter in (0.25, 0.5, 0.75):
        judge.tick(quarter)
    (probe,) = judge.tick(1.0)
    return probe


def _network(seed: int) -> Network:
    network = Network(seed=seed, membership=FAST)
    network.grow(3)
    network.run(3.0)
    return network


def _starve(network: Network, instances: list[str], seed: int, pauses=PAUSES) -> None:
    rng = random.Random(seed)
    end = network.now + SECONDS
    while network.now < end:
        for instance in instances:
            network.pause(instance)
        network.run(rng.uniform(*pauses))
        for instance in instances:
            network.resume(instance)
        network.run(SLICE)


def _deaths(starved: list[str], seed: int) -> list[tuple[str, str]]:
    """Who held whom for dead while some ran in slices."""
    network = _network(seed)
    deaths = []

    def listener(judge: str):
        def listen(view) -> None:
            if view.status is Status.DEAD:
                deaths.append((judge, view.member.instance))

        return listen

    for instance, node in network.nodes.items():
        node.membership.subscribe(listener(instance))
    _starve(network, starved, seed)
    return deaths
