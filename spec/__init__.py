"""
The small specification of the core protocol, and its exhaustive model checking.

    >>> from spec import check, registered
    >>> check(registered()["memory"]()).verdict
    'holds'
"""

from spec import claims, documents, drain, memory, slots  # noqa: F401
from spec._check import BROKEN, HOLDS, UNDECIDED, Report, check, check_variant
from spec._model import Action, Specification, Variant, registered

__all__ = [
    "BROKEN",
    "HOLDS",
    "UNDECIDED",
    "Action",
    "Report",
    "Specification",
    "Variant",
    "check",
    "check_variant",
    "registered",
]
