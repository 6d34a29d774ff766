"""Exit codes, so that scripts can tell what to do next.

The difference that matters most is between a change that certainly wasn't made (1, 2,
3), which may simply be tried again, and one that may have been made (4), which may not.
"""

import enum


class Exit(enum.IntEnum):
    """What ``bambootiller`` exits with."""

    OK = 0
    #: The change was refused: somebody else's came first, or a check says no.
    REFUSED = 1
    #: A flag, a setting or a template isn't usable. click uses the same code.
    INVALID = 2
    #: The key-value service or all members are out of reach. Nothing was changed.
    UNREACHABLE = 3
    #: The change may or may not be in force. Read before changing anything.
    UNKNOWN = 4
    #: The change is accepted, but not all members have followed in the time given.
    NOT_EVERYWHERE = 5


LEGEND = """\
\b
Exit codes:
  0  done
  1  refused: somebody else's change came first, or a check says no
  2  a flag, a setting or a template isn't usable
  3  the service or all members are out of reach; nothing was changed
  4  the outcome is unknown: the change may or may not be in force
  5  accepted, but not in force on all members within --timeout
"""
