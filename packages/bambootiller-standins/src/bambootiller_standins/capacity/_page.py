"""Makes docs/CAPACITY.md from its text and the raw figures.

The text has places like ``${entry_cpu}``. Every place must have a figure and every line
of the target its mark, so that the page can't say what no run has shown.
"""

from __future__ import annotations

from importlib import resources
from pathlib import Path
from string import Template

from bambootiller_standins.capacity import _estimates, _unmet
from bambootiller_standins.capacity._results import Results

TEXT = "page.md"


def render(results: Results) -> str:
    """The page's text with the figures of ``results``."""
    text = resources.files(__package__).joinpath(TEXT).read_text("utf-8")
    figures = _estimates.figures(results)
    unmet = Template(_unmet.unmet(figures, results))
    figures["not_met"] = unmet.substitute(figures)
    figures["slopes"] = slopes(results)
    figures["conditions"] = conditions(results)
    return Template(text).substitute(figures)


def write(folder: Path, page: Path) -> None:
    """Render the page from the raw figures in ``folder``."""
    page.write_text(render(Results.load(folder)), encoding="utf-8")


def slopes(results: Results) -> str:
    """A table of all series: from where to where, slope, spread, value at the end."""
    rows = [
        "| series | against | measured from .. to | slope | spread | at the largest |",
        "|---|---|---|---|---|---|",
    ]
    for name, raw in results.raw.items():
        for series, form in raw["series"].items():
            rows.append(_row(f"{name}: {series}", form))
    return "\n".join(rows)


def _row(name: str, form: dict) -> str:
    points = form["points"]
    line = form["fit"] or {"slope": 0.0, "spread": None}
    spread = "unknown" if line["spread"] is None else f"± {line['spread']:.2g}"
    least, most = min(points)[0], max(points)[0]
    unit = "" if form["y"] in name else f" {form['y']}"
    return (
        f"| {name} | {form['x']} | {least:g} .. {most:g} "
        f"| {line['slope']:.3g}{unit} | {spread} | {max(points)[1]:.4g} |"
    )


def conditions(results: Results) -> str:
    """How busy the machine was during each measurement."""
    rows = [
        "| measurement | took | load of the machine before / after |",
        "|---|---|---|",
    ]
    for name, raw in results.raw.items():
        machine = raw["machine"]
        note = " (quick)" if raw["quick"] else ""
        rows.append(
            f"| {name}{note} | {raw['took_seconds']:.0f} s "
            f"| {machine['load_before']} / {machine['load_after']} "
            f"on {machine['processors']} processors |"
        )
    return "\n".join(rows)
