"""The days in deploy/days fit every deployment and describe their disruptions."""

import re
import tomllib
import unittest

from tests.adapter import ROOT

FOLDER = ROOT / "deploy" / "days"

#: Fields that refer to a part of a deployment, and the placeholder they must use.
PLACEHOLDERS = {
    "zone": re.compile(r"@z\d+"),
    "to_zone": re.compile(r"@z\d+"),
    "service": re.compile(r"@s\d+"),
    "class": re.compile(r"@c\d+"),
}
#: Fields that mean the same on every deployment. `region` is missing: it has no
#: placeholder.
GENERIC_FIELDS = {"at", "kind", "for_s", "gap_s", "share", "count", "x", "how", "on"}
DAY_FIELDS = {"name", "slot", "seed", "closing", "plan", "faults"}
CLOSING_FIELDS = {"kind", "down_s", "how"}
MACHINE_ROLES = {"front", "side", "core"}


def leading_comment(text):
    """Return the comment at the top of a file, joined to one line."""
    lines = []
    for line in text.splitlines():
        if not line.startswith("# "):
            break
        lines.append(line.removeprefix("# "))
    return " ".join(lines)


def deployment_specific_fields(entry):
    """Return the fields of a disruption that only fit one deployment."""
    return [
        f"{field} = {value!r}"
        for field, value in entry.items()
        if not (
            isinstance(value, str) and PLACEHOLDERS[field].fullmatch(value)
            if field in PLACEHOLDERS
            else field in GENERIC_FIELDS
        )
        or (field == "on" and value not in MACHINE_ROLES)
    ]


class TestDays(unittest.TestCase):
    def setUp(self):
        self.texts = {path: path.read_text() for path in sorted(FOLDER.glob("*.toml"))}
        self.files = {path: tomllib.loads(text) for path, text in self.texts.items()}

    def test_the_folder_holds_only_day_files(self):
        self.assertTrue(self.texts)
        self.assertEqual(sorted(FOLDER.iterdir()), list(self.texts))

    def test_no_day_file_lies_elsewhere(self):
        elsewhere = [
            path
            for path in (ROOT / "tests").rglob("*.toml")
            if "day" in tomllib.loads(path.read_text())
        ]
        self.assertEqual(elsewhere, [])

    def test_each_file_begins_with_a_description(self):
        for path, text in self.texts.items():
            with self.subTest(path.name):
                self.assertRegex(leading_comment(text), r"^[A-Z].{20,}\.$")
                self.assertNotIn("@", leading_comment(text))

    def test_each_file_holds_one_day_with_a_unique_name_and_seed(self):
        for path, data in self.files.items():
            with self.subTest(path.name):
                self.assertEqual(list(data), ["day"])
                self.assertEqual([day["name"] for day in data["day"]], [path.stem])
        seeds = [day["seed"] for data in self.files.values() for day in data["day"]]
        self.assertEqual(len(set(seeds)), len(seeds))

    def test_each_day_holds_only_disruptions(self):
        for path, data in self.files.items():
            for day in data["day"]:
                with self.subTest(path.name):
                    self.assertLessEqual(set(day), DAY_FIELDS)
                    self.assertLessEqual(set(day.get("closing", {})), CLOSING_FIELDS)
                    self.assertTrue(day.get("plan", []) + day.get("faults", []))

    def test_parts_of_a_deployment_are_placeholders(self):
        for path, data in self.files.items():
            for day in data["day"]:
                for entry in day.get("plan", []) + day.get("faults", []):
                    with self.subTest(path.name, kind=entry["kind"], at=entry["at"]):
                        self.assertEqual(deployment_specific_fields(entry), [])


class TestDeploymentSpecificFields(unittest.TestCase):
    def test_names_of_a_deployment_are_found(self):
        for entry in (
            {"zone": "north"},
            {"to_zone": "@s0"},
            {"service": "@s0 or another"},
            {"class": 1},
            {"region": "@z0"},
            {"on": "north-1"},
        ):
            with self.subTest(entry):
                self.assertEqual(
                    len(
                        deployment_specific_fields({"at": 1.0, "kind": "burst"} | entry)
                    ),
                    1,
                )

    def test_placeholders_are_accepted(self):
        entry = {"zone": "@z0", "to_zone": "@z12", "service": "@s1", "class": "@c0"}
        self.assertEqual(
            deployment_specific_fields(entry | {"on": "core", "x": 2.0}), []
        )
