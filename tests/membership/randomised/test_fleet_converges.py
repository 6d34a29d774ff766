"""A small fleet under random kills, pauses, cut links, leavings and changes.

After the faults end, all processes must agree: on who is there, on who is leaving, and
on the documents. All along no process may go below a revision that it has seen. The
network is virtual, and its seed is part of what Hypothesis prints when an example
fails."""

import unittest

from hypothesis import given, settings, strategies as st

from bambootiller_core.documents import PREFIXES, TEMPLATES_PREFIX, Document
from bambootiller_core.membership import Status, supersedes
from bambootiller_standins._gossip_network import Conditions, Network, Node
from tests.common import counting, profiles
from tests.membership.common.builders import membership, said

profiles.load()

NODES = 7
FAULTS = ("kill", "pause", "resume", "cut", "heal", "leave", "write", "restart")
KEY = f"{TEMPLATES_PREFIX}forge"
#: Enough for a suspicion, a death, a probe of the dead and a comparison.
AGREEMENT_SECONDS = 240.0
steps = st.lists(
    st.tuples(st.sampled_from(FAULTS), st.integers(0, NODES - 1), st.floats(0.0, 20.0)),
    max_size=12,
)


class Trial:
    """One fleet, the faults it is given, and what must hold of it."""

    def __init__(self, seed: int, loss: float) -> None:
        self.network = Network(Conditions(loss=loss), seed)
        self.revision = 1
        self.left: set[str] = set()
        self.network.grow(NODES)
        for node in self.network.running():
            self._check_revisions(node)
        self._write(self.network.nodes["n-0"])
        self.network.run(15.0)

    def step(self, fault: str, number: int, seconds: float) -> None:
        node = self.network.nodes[f"n-{number}"]
        getattr(self, f"_{fault}")(node)
        self.network.run(seconds)

    def settle(self) -> None:
        self.network.heal()
        for node in self.network.nodes.values():
            self._resume(node)
        if self.network.running():
            self._write(self.network.running()[0])
        done = self.network.run_until(self.agrees, AGREEMENT_SECONDS)
        assert done is not None, self.disagreement()

    def agrees(self) -> bool:
        return not self.disagreement()

    def disagreement(self) -> list:
        """Who sees what that isn't so."""
        up = {node.instance for node in self.network.running()}
        wrong = []
        for node in self.network.running():
            for other in self.network.nodes:
                seen = node.membership.status_of(other)
                if seen not in self._expected(other, up):
                    wrong.append((node.instance, other, seen))
            held = node.documents.revision_of(KEY)
            if held != self.revision:
                wrong.append((node.instance, held, self.revision))
        return wrong

    def _expected(self, name: str, up: set[str]) -> tuple:
        if name not in up:
            return (Status.DEAD, None)
        return (Status.LEAVING,) if name in self.left else (Status.ALIVE,)

    def _kill(self, node: Node) -> None:
        # Two stay, else there is nobody to agree.
        if sum(one.up for one in self.network.nodes.values()) > 2:
            self.network.kill(node.instance)

    def _pause(self, node: Node) -> None:
        self.network.pause(node.instance)

    def _resume(self, node: Node) -> None:
        if node.paused:
            self.network.resume(node.instance)

    def _cut(self, node: Node) -> None:
        self.network.cut_off(node.instance)

    def _heal(self, node: Node) -> None:
        self.network.heal()

    def _leave(self, node: Node) -> None:
        if node.up and not node.paused:
            self.left.add(node.instance)
            self.network.act(node, node.gossip.leave(self.network.now))

    def _restart(self, node: Node) -> None:
        """A new process of a killed instance, which remembers nothing."""
        if not node.up:
            self.left.discard(node.instance)
            self._check_revisions(self.network.start(node.instance))

    def _write(self, node: Node) -> None:
        if not node.up or node.paused:
            return
        self.revision += 1
        now = self.network.now
        document = Document(KEY, self.revision, b"x")
        reads = [(PREFIXES[0], [document]), (PREFIXES[1], [])]
        for prefix, found in reads:
            effects = node.gossip.adopt_read(now, prefix, found, self.revision)
            self.network.act(node, effects)

    def _check_revisions(self, node: Node) -> None:
        seen: dict[str, int] = {}

        def heard(document: Document) -> None:
            assert document.revision > seen.get(document.key, 0), document
            seen[document.key] = document.revision

        node.documents.subscribe("", heard)


class TestFleetConverges(unittest.TestCase):
    @settings(max_examples=profiles.scale(12, 600))
    @given(steps, st.integers(0, 2**32), st.sampled_from([0.0, 0.02]))
    def test_all_agree_after_the_faults_have_ended(self, faults, seed, loss):
        trial = Trial(seed, loss)
        for fault in faults:
            trial.step(*fault)
            counting.add("fleets on virtual time, faults")
        trial.settle()


statements = st.builds(said, st.just("a"), st.sampled_from(Status), st.integers(1, 4))


class TestStatementsInAnyOrder(unittest.TestCase):
    @given(st.lists(statements, min_size=1), st.randoms(use_true_random=False))
    def test_the_order_in_which_statements_arrive_does_not_matter(self, heard, rng):
        one, two = membership("a"), membership("a")
        one.merge(1.0, heard)
        shuffled = list(heard)
        rng.shuffle(shuffled)
        two.merge(1.0, shuffled)
        self.assertEqual(one.statement_of("a"), two.statement_of("a"))

    @given(statements, statements)
    def test_of_two_different_statements_exactly_one_supersedes_the_other(self, a, b):
        self.assertEqual(supersedes(a, b) + supersedes(b, a), a != b)
