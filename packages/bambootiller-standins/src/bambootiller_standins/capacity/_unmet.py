"""What the page says about lines that aren't met: the cause, and the next change.

The paragraphs stand in ``unmet.md``, each under the name by which it is chosen here.
"""

from __future__ import annotations

from importlib import resources

from bambootiller_standins.capacity import _estimates
from bambootiller_standins.capacity._results import Results

TEXT = "unmet.md"
HEADING = "# "
#: The share of a second for which the loop may be held up without a token being late.
LONGEST_BLOCK_S = 0.053
BYTES_LIMIT = 5_000.0
MISSED = "not met"
NAMES = (
    "bytes",
    "cpu",
    "sweep",
    "claims",
    "channels",
    "whole",
    "join",
    "deaths",
    "between",
    "tool",
    "regions",
)


def paragraphs() -> dict[str, str]:
    """Every paragraph by its name, with places for figures in it."""
    text = resources.files(__package__).joinpath(TEXT).read_text("utf-8")
    parts = f"\n{text}".split(f"\n{HEADING}")[1:]
    named = (part.split("\n", 1) for part in parts)
    return {name.strip(): body.strip() for name, body in named}


def missed(texts: dict[str, str], results: Results) -> list[str]:
    """The names of the lines that aren't met, the worst first."""
    deaths = results.last("work", "member_dies")
    joined = results.value("whole/entry/1")
    rate = joined["settling_bytes"] / max(1.0, joined["settling_seconds"])
    applies = {
        "bytes": texts["entry_bytes_mark"] == MISSED,
        "cpu": MISSED in (texts["entry_cpu_mark"], texts["agent_cpu_mark"]),
        "sweep": _estimates.sweep_block(results) > LONGEST_BLOCK_S,
        "claims": True,
        "channels": texts["entry_channels_mark"] == MISSED,
        "whole": texts["entry_whole_mark"] == MISSED,
        "join": rate > BYTES_LIMIT,
        "deaths": deaths > LONGEST_BLOCK_S / 10,
        "between": texts["between_mark"] == MISSED,
        "tool": texts["tool_mark"] == MISSED,
        "regions": True,
    }
    return [name for name in NAMES if applies[name]]


def unmet(texts: dict[str, str], results: Results) -> str:
    """The paragraphs of the lines that aren't met, with places still in them."""
    found = paragraphs()
    return "\n\n".join(found[name] for name in missed(texts, results))
