"""Why a process of the system ends: its exit codes, for whoever restarts it.

Beside 0 the codes are those of the BSD convention (``sysexits.h``), which supervisors
know: after 70 a restart helps, after 69 perhaps a later one, after 78 none does.
"""

import enum


class ProcessExit(enum.IntEnum):
    """What ``bambootillerd`` exits with; click adds 2, for an unknown flag."""

    #: A planned stop has ended.
    STOPPED = 0
    #: A port is taken: by another agent beside this backend server, or by anybody.
    PORT_TAKEN = 69
    #: An invariant is broken, or an exception was left over.
    BROKEN = 70
    #: The settings aren't usable.
    SETTINGS = 78


class PortTaken(OSError):
    """An address of the settings can't be bound; the text names flag and address.

    It is raised at the start only, where nothing is held yet that would have to be
    handed over.
    """
