"""Pages for operators name what the code has: settings, refusals, exit codes."""

import pathlib
import unittest

from click.testing import CliRunner

from bambootiller.cli.exits import Exit
from bambootiller.cli.main import main
from bambootiller.exits import ProcessExit
from bambootiller_core.outcomes import Code

DOCS = pathlib.Path(__file__).parents[3] / "docs"


def page(name):
    return (DOCS / name).read_text(encoding="utf-8")


class TestPages(unittest.TestCase):
    def test_the_page_of_settings_is_what_the_tool_writes(self):
        written = CliRunner().invoke(main, ["settings", "--page"]).output
        hint = "run: bambootiller settings --page > docs/settings.md"
        self.assertEqual(page("settings.md"), written, hint)

    def test_each_code_of_a_refusal_stands_in_the_page_for_trouble(self):
        text = page("trouble.md")
        missing = [code.value for code in Code if f"| `{code.value}` |" not in text]
        self.assertEqual(missing, [])

    def test_each_exit_code_stands_in_a_page(self):
        operators, trouble = page("operators.md"), page("trouble.md")
        for code in Exit:
            self.assertIn(f"| {code.value} |", operators)
        for code in ProcessExit:
            self.assertIn(f"| {code.value} |", trouble)


if __name__ == "__main__":
    unittest.main()
