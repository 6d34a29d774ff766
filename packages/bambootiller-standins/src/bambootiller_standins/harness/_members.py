"""A process of the product in a fleet: where it stands, its settings, its listing."""

from dataclasses import dataclass, field

from bambootiller_standins.harness._cut import Cut
from bambootiller_standins.harness._names import (
    INSTANCES_PATH,
    KERNEL_PORT,
    Role,
    Setting,
)
from bambootiller_standins.instancelist import ListedInstance

LIVE = "live"
LEAVING = "leaving"


@dataclass(slots=True)
class Member:
    """One process of the product, and what stands beside it."""

    instance: str
    role: Role
    zone: str
    region: str
    engine: str | None = None
    services: tuple[str, ...] = ()
    state: str = LIVE
    listed: bool = True
    links: dict[str, Cut] = field(default_factory=dict)


@dataclass(slots=True)
class Addresses:
    """Where a member finds the platform and what stands beside it; URLs are bases."""

    key_value: str
    instance_list: str
    services: dict[str, str]
    engine: str | None = None
    guard_port: int | None = None
    statsd: str | None = None


def member_settings(member: Member, addresses: Addresses) -> dict[str, str]:
    """Returns the variables with which a member is started."""
    settings = {
        Setting.INSTANCE: member.instance,
        Setting.ZONE: member.zone,
        Setting.REGION: member.region,
        Setting.RPC_LISTEN: KERNEL_PORT,
        Setting.KV_URL: addresses.key_value,
        Setting.INSTANCES_URL: addresses.instance_list + INSTANCES_PATH,
    }
    if "rpc" in member.links:
        settings[Setting.RPC_ADVERTISE] = member.links["rpc"].address
    if addresses.statsd is not None:
        settings[Setting.STATSD] = addresses.statsd
    if member.role is Role.ENTRY:
        settings[Setting.HTTP_LISTEN] = KERNEL_PORT
    if addresses.guard_port is not None:
        settings[Setting.GUARD_PORT] = str(addresses.guard_port)
    if addresses.engine is not None:
        settings[Setting.ENGINE_URL] = addresses.engine
    if addresses.services:
        entries = (f"{name}={url}" for name, url in addresses.services.items())
        settings[Setting.SERVICES] = ",".join(entries)
    return {str(name): value for name, value in settings.items()}


def listing(member: Member, rpc_address: str) -> ListedInstance:
    """Returns a member as the instance list shows it."""
    labels = {
        "instance": member.instance,
        "role": member.role.value,
        "zone": member.zone,
        "region": member.region,
        "state": member.state,
    }
    return ListedInstance(targets=[rpc_address], labels=labels)
