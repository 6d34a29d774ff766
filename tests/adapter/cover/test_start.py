"""Modules that the platform's programs import before they serve.

Every process imports all of them at every start, on a fraction of a core; after a power
failure, hundreds of processes do so at once.
"""

import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[3]
#: Modules of the product's own roles, which the gateway doesn't use.
UNUSED_MODULES = (
    "bambootiller.catalogue",
    "bambootiller.entry.role",
    "bambootiller.templates",
    "bambootiller_core.slots",
)
SCRIPT = """
import sys
sys.path.insert(0, {folder!r})
import launch
import bambootiller.gateway.{role}
print("\\n".join(name for name in sys.modules))
"""


def loaded_modules(role):
    """Return the names of the modules that a program has imported."""
    script = SCRIPT.format(folder=str(ROOT / "platform"), role=role)
    done = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True
    )
    return set(done.stdout.split())


class TestGarbageCollection(unittest.TestCase):
    """Symptom: calls are delayed by 50 ms from time to time.

    Full garbage collections scanned the objects of hundreds of imported modules.
    """

    def test_modules_are_frozen_and_collection_is_enabled(self):
        script = SCRIPT.format(folder=str(ROOT / "platform"), role="agent")
        script += "import gc; print(gc.get_freeze_count(), gc.isenabled())"
        done = subprocess.run(
            [sys.executable, "-c", script], capture_output=True, text=True, check=True
        )
        frozen, enabled = done.stdout.split()[-2:]
        self.assertGreater(int(frozen), 10_000)
        self.assertEqual(enabled, "True")


class TestLoadedModules(unittest.TestCase):
    def check(self, role):
        found = loaded_modules(role).intersection(UNUSED_MODULES)
        self.assertEqual(found, set(), f"{role} loads what it doesn't use")

    def test_an_entry_loads_no_other_role(self):
        self.check("entry")

    def test_an_agent_loads_no_other_role(self):
        self.check("agent")
