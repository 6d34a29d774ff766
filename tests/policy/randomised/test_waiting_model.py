"""The waiting line against a plain list of what waits."""

import random
import unittest

from bambootiller_core.waiting import WaitingLine
from tests.common import counting
from tests.common.profiles import scale
from tests.policy.requests import a_request

STEPS = 200


def run(seed: int) -> None:
    rng = random.Random(seed)
    line = WaitingLine(rng.choice([0.0, 0.2, 0.5, 1.0]))
    model = {}
    for now in range(STEPS):
        step = rng.random()
        if step < 0.5:
            req = a_request(
                priority=rng.randrange(4),
                deadline=now + rng.uniform(0.5, 40.0),
                batch=rng.random() < 0.3,
                standing=rng.choice([1.0, 2.0]),
            )
            place = line.ahead_of(req)
            assert 0 <= place <= len(line), (place, len(line))
            line.add(now, req)
            model[req.request_id] = req
        elif step < 0.8:
            popped = line.pop(now)
            in_time = [req for req in model.values() if req.deadline > now]
            assert (popped is None) == (not in_time), (popped, in_time)
            if popped is not None:
                assert popped.deadline > now
                same = [req for req in in_time if req.batch == popped.batch]
                best = min(same, key=lambda req: (req.priority, req.deadline))
                assert (popped.priority, popped.deadline) == (
                    best.priority,
                    best.deadline,
                )
                del model[popped.request_id]
        elif step < 0.9 and model:
            name = rng.choice(sorted(model))
            assert line.remove(name)
            assert not line.remove(name)
            del model[name]
        else:
            expired = {req.request_id for req in line.expired(now)}
            due = {name for name, req in model.items() if req.deadline <= now}
            assert expired == due, (expired, due)
            for name in due:
                del model[name]
        assert len(line) == len(model)
        assert {req.request_id for req in line.requests()} == set(model)
        earliest = min((req.deadline for req in model.values()), default=None)
        assert line.next_deadline() == earliest


class WaitingModelTest(unittest.TestCase):
    def test_the_line_holds_exactly_what_waits_and_serves_it_in_order(self):
        for seed in range(scale(30, 1000)):
            with self.subTest(seed=seed):
                run(seed)
                counting.add("waiting line", STEPS)
