"""What proves that a slot's holder can't load the model any more.

Nothing else moves a slot. An expired lease, an unanswered probe or a suspicion isn't
among them: their holder may be paused, and act on its slot the moment it wakes.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GivenBack:
    """The holder itself says that the model isn't loaded and no order is on its way."""

    instance: str


@dataclass(frozen=True, slots=True)
class InstanceGone:
    """The platform listed the instance earlier and, in a later answer, no more."""

    instance: str


@dataclass(frozen=True, slots=True)
class FenceConfirmed:
    """The instance's engine took an unload at the higher ``fence`` and confirmed it.

    Valid only for engines that refuse lower numbers from then on.
    """

    instance: str
    fence: int


Evidence = GivenBack | InstanceGone | FenceConfirmed
