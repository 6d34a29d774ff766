"""Seeds that once broke a promise, run again as they were."""

from tests.soak.faults import FIRST_FAULTS
from tests.soak.run import soak

#: How long those runs were. Seconds.
SECONDS = 12.0


async def again(case, seed, faults=FIRST_FAULTS):
    """Run a seed with the faults that it had, and fail the test if a promise is
    broken."""
    report = await soak(seed, SECONDS, "out/soak", faults)
    case.assertEqual(report.broken, [], report)
