"""The forms in which a platform lists its instances, registered by name.

``--instances-url`` names the form before a plus sign, such as
``sd+http://10.0.0.6/instances``; without a name ``sd`` is meant, the published JSON
form of HTTP service discovery. A form is a function from the body of a successful
answer to the instances, or to why the body isn't usable.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict, TypeAdapter, ValidationError

from bambootiller._forms import Forms
from bambootiller_core.types import Member, Role

LIVE = "live"
LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """An instance as the platform lists it; ``state`` is ``live`` or ``leaving``."""

    instance: str
    role: Role
    zone: str
    region: str
    address: str
    state: str

    @property
    def leaving(self) -> bool:
        """Whether the platform is about to take the instance away."""
        return self.state == LEAVING

    def member(self) -> Member:
        """The listed process as a member that hasn't spoken yet."""
        return Member(self.instance, self.role, self.zone, self.region, self.address)


@dataclass(frozen=True, slots=True)
class NotAList:
    """A body that isn't in the form expected, and what is wrong with it."""

    detail: str


Parse = Callable[[bytes], list[ListedInstance] | NotAList]

#: The forms by name.
LIST_FORMS: Forms[Parse] = Forms(default="sd")


class _Labels(BaseModel):
    model_config = ConfigDict(extra="ignore")

    instance: str
    role: Role
    zone: str = ""
    region: str = ""
    state: str = LIVE


class _Target(BaseModel):
    model_config = ConfigDict(extra="ignore")

    targets: list[str]
    labels: _Labels


_ANSWER = TypeAdapter(list[_Target])


@LIST_FORMS.register("sd")
def parse_http_sd(body: bytes) -> list[ListedInstance] | NotAList:
    """The instances of a service-discovery answer; entries without a target are left
    out."""
    try:
        entries = _ANSWER.validate_json(body)
    except ValidationError as exc:
        return NotAList(str(exc))
    return [
        ListedInstance(
            entry.labels.instance,
            entry.labels.role,
            entry.labels.zone,
            entry.labels.region,
            entry.targets[0],
            entry.labels.state,
        )
        for entry in entries
        if entry.targets
    ]
