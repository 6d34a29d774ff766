"""The platform's protocol stays in the adapter, whose folder shadows no module."""

import json
import re
import subprocess
import sys
import unittest

from tests.adapter import PLATFORM, ROOT

#: Names of the platform's protocol that mean nothing to the product.
PLATFORM_NAMES = (
    "x-request-attempt",
    "x-response-seal",
    "x-not-executed",
    "x-expected-instance",
    "x-token-usage",
    "x-prompt-prefix",
    "x-deadline-ms",
    "x-request-priority",
    "/bambootiller/ready",
    "/bambootiller/report",
    "/bambootiller/order",
    "kv-txn",
    "kv-watch",
    "kv-range",
    "op/config",
    "servers/",
    "model_load",
    "model_unload",
    "fencing-token",
    "path-prefix",
    "weights-mb",
    "at-hand",
    "internal-ports",
    "node-name",
    "BAMBOOTILLER_NODE_FILE",
)


class TestBoundary(unittest.TestCase):
    def test_platform_names_occur_only_in_the_adapter(self):
        pattern = re.compile("|".join(map(re.escape, PLATFORM_NAMES)), re.IGNORECASE)
        found = []
        for path in sorted((ROOT / "packages").rglob("*.py")):
            for number, line in enumerate(path.read_text().splitlines(), 1):
                if pattern.search(line):
                    found.append(f"{path.relative_to(ROOT)}:{number}: {line.strip()}")
        self.assertEqual(found, [])

    def test_the_packages_do_not_import_the_adapter(self):
        found = [
            str(path.relative_to(ROOT))
            for path in (ROOT / "packages").rglob("*.py")
            if "bambootiller_platform" in path.read_text()
        ]
        self.assertEqual(found, [])


class TestFolder(unittest.TestCase):
    def run_python(self, code, *path):
        lines = f"import sys; sys.path[:0] = {json.dumps([str(p) for p in path])}; "
        done = subprocess.run(
            [sys.executable, "-c", lines + code],
            capture_output=True,
            text=True,
            cwd=ROOT,
        )
        self.assertEqual(done.returncode, 0, done.stderr)
        return done.stdout.strip()

    def test_the_standard_library_module_is_not_shadowed(self):
        """Symptom: every library that imports ``platform`` fails to import.

        The folder has the name of a module of the standard library. With an
        ``__init__.py``, or a module of that name inside, it would be imported instead.
        """
        code = "import platform; print(platform.python_version())"
        expected = sys.version.split()[0]
        self.assertEqual(self.run_python(code, ROOT, PLATFORM), expected)
        self.assertFalse((PLATFORM / "__init__.py").exists())
