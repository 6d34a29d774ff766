"""Digests of the plans for random fleets, as records for comparison.

An optimisation of the planner must not change any decision. After a change of policy
the records are written again, and the commit says why they differ::

    python -m tests.gateway.randomised.plan_records
"""

import json
import pathlib
import zlib

from bambootiller_core.gateway.residency import Planner
from tests.gateway.common import fleets

RECORDS = pathlib.Path(__file__).with_name("plans.json")
SEEDS = 400


def plan(seed):
    spec, backends, demands, store_loads = fleets.random_fleet(seed)
    return Planner(spec, store_loads).plan(fleets.NOW, backends, demands)


def digest(seed):
    """Returns the checksum of the loads of one plan in order, with times to the
    microsecond."""
    lines = [
        f"{load.model} {load.instance} {load.ready_in_s:.6f} {load.request_now} "
        f"{load.from_store}"
        for load in plan(seed).values()
    ]
    return zlib.crc32("\n".join(lines).encode())


if __name__ == "__main__":
    records = [digest(seed) for seed in range(SEEDS)]
    RECORDS.write_text(json.dumps(records) + "\n")
