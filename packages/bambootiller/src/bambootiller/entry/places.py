"""Which agents run a plain service beside them.

Plain services hold no slots; each agent announces those beside it with its membership.
The index here follows these announcements, so that a call looks at the agents of its
service only and not at all agents of the fleet. An agent that was started again without
a service may say so before its new announcement arrives; it is passed over for a while.
"""

from __future__ import annotations

from bambootiller_core.membership import MemberView, Status

#: How long an agent's word that it doesn't run a service is taken for true. Seconds.
ABSENCE_S = 30.0


class ServicePlaces:
    """The agents of each service, as announced and as shown by refusals.

    Example::

        places.noted(view)  # of i-1, with the services ("pushes",)
        places.of(0.0, "pushes")  # ["i-1"]
        places.absent(0.0, "i-1", "pushes")
    """

    def __init__(self) -> None:
        self._announced: dict[str, set[str]] = {}
        self._absent: dict[tuple[str, str], float] = {}

    def noted(self, view: MemberView) -> None:
        """A member's statement changed, or is seen for the first time."""
        instance = view.member.instance
        here = () if view.status is Status.DEAD else view.member.services
        for service, instances in self._announced.items():
            if service not in here:
                instances.discard(instance)
        for service in here:
            self._announced.setdefault(service, set()).add(instance)

    def absent(self, now: float, instance: str, service: str) -> None:
        """The agent said that the service doesn't run beside it."""
        self._absent[instance, service] = now + ABSENCE_S

    def of(self, now: float, service: str) -> list[str]:
        """The instances that run the service, in the order of their names.

        Those that said otherwise lately are left out, unless nothing else would be
        left."""
        names = sorted(self._announced.get(service, ()))
        present = [
            name for name in names if self._absent.get((name, service), 0.0) <= now
        ]
        return present or names

    def sweep(self, now: float) -> None:
        """Forget the words that are too old to count."""
        self._absent = {
            key: until for key, until in self._absent.items() if until > now
        }
