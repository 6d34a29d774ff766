import unittest
from pathlib import Path
from string import Template

from bambootiller_standins.capacity import _estimates, _page, _unmet
from bambootiller_standins.capacity._results import Results

MAKE_ANEW = "python -m bambootiller_standins.capacity --page-only"
DOCS = Path(__file__).parents[3] / "docs"


class PageTests(unittest.TestCase):
    def test_the_page_says_just_what_the_raw_figures_beside_it_give(self):
        """Symptom: the page shows figures that no run kept beside it has given.

        Sequence: a measurement is repeated, or a figure worked out otherwise, and the
        page isn't made anew, or it is edited by hand. Cause: the page and its raw
        figures are separate files.
        """
        rendered = _page.render(Results.load(DOCS / "capacity"))
        page = (DOCS / "CAPACITY.md").read_text("utf-8")
        self.assertEqual(page, rendered, f"make the page anew: {MAKE_ANEW}")

    def test_no_place_is_left_open_and_every_line_has_a_mark(self):
        rendered = _page.render(Results.load(DOCS / "capacity"))
        self.assertNotIn("$", rendered)
        table = rendered.split("## Line by line")[1].split("##")[0]
        rows = [row for row in table.splitlines() if row.startswith("| ")][1:]
        marks = {_estimates.MEASURED, _estimates.EXTRAPOLATED, _estimates.NOT_MET}
        for row in rows:
            with self.subTest(row=row):
                self.assertTrue(any(f"**{one}**" in row for one in marks), row)

    def test_above_the_limit_a_line_is_not_met_however_it_was_found(self):
        self.assertEqual(_estimates.mark(3.6, 3.5, "measured"), "not met")
        self.assertEqual(_estimates.mark(3.5, 3.5, "measured"), "measured")

    def test_each_line_that_can_be_missed_has_a_paragraph_with_the_next_change(self):
        found = _unmet.paragraphs()
        self.assertEqual(set(found), set(_unmet.NAMES))
        for name, text in found.items():
            with self.subTest(name=name):
                self.assertIn("Next change", text)
                self.assertTrue(Template(text).is_valid())

    def test_names_in_raw_figures_may_hold_slashes(self):
        results = Results({"whole": {"values": {"entry/0.1": {"cpu": 0.5}}}})
        self.assertEqual(results.value("whole/entry/0.1/cpu"), 0.5)
        with self.assertRaises(KeyError):
            results.value("whole/agent/0.1")
