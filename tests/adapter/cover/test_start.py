"""What the platform's programs load before they serve.

Each module is read again by each process at each start, also after a loss of power with
hundreds of others, on a part of a core.
"""

import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[3]
#: Parts of the product's own roles, which the gateway doesn't use.
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
    """The names of the modules that a program of the platform has loaded."""
    script = SCRIPT.format(folder=str(ROOT / "platform"), role=role)
    done = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True
    )
    return set(done.stdout.split())


class TestGarbageCollection(unittest.TestCase):
    """Symptom: a process with hundreds of modules holds up calls for a twentieth of a
    second, each time that it looks through all of them for garbage."""

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
