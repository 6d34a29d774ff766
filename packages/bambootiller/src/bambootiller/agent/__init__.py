"""The agent: the one process beside a backend server, which alone gives it work.

Admission, memory, at-most-once and the graceful shutdown are each decided in one
place, because every call and every order passes here. The decisions are the core's
(:mod:`bambootiller_core.backend`, :mod:`bambootiller_core.claims`); this package
carries them out.
"""

from bambootiller.agent.role import AgentRole

__all__ = ["AgentRole"]
