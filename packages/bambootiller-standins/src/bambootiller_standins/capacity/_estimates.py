"""The target's figures, worked out from what was measured.

Each figure goes to the page as text under its name. A figure with a limit gets a mark
as well: ``not met`` above the limit, else ``measured`` or ``extrapolated``.
"""

from __future__ import annotations

import json
import math
import zlib

from bambootiller.instances import POLL_SECONDS, poll_period
from bambootiller.rpc.channels import IDLE_TIMEOUT_MS
from bambootiller.slotkeeping.keeper import SWEEP_PERIOD, SWEEP_SLICE
from bambootiller_standins.capacity import _crowd, _fleet, _state as state
from bambootiller_standins.capacity._results import Results
from bambootiller_standins.capacity._target import DAY_SECONDS, TARGET

MEASURED, EXTRAPOLATED, NOT_MET = "measured", "extrapolated", "not met"
MIB = 2**20

CPU_LIMIT = 3.5
#: 32 MB, in MiB.
MEMORY_LIMIT = 32e6 / MIB
BYTES_LIMIT = 5_000.0
CHANGE_LIMIT = 5.0
FIRST_TOKEN_LIMIT = 600.0
BETWEEN_LIMIT = 53.0
KEY_VALUE_WRITES = 300.0
#: The target names no limit for the tool; more than this surprises an operator. MiB.
TOOL_LIMIT = 256.0
CLAIM_WRITES = 2
QUIET_WATCH_SECONDS = 45.0
PREFIXES = 2
WATCHERS_PER_ZONE = 2
#: A failure is a death and a join, a restart a leaving, a death and a join.
EVENTS_A_DAY = 2 * TARGET.failures_a_day + 3 * TARGET.restarts_a_day
#: The time in which the deaths of a lost zone become known, and how much of it a
#: process may spend on them.
ZONE_SECONDS = 10.0
BUSY_SHARE = 0.5

#: The largest of the small fleets.
FLEET = f"fleet/{max(_fleet.SIZES)}"

Texts = dict[str, str]


def figures(results: Results) -> Texts:
    """Every figure of the page by the name of its place."""
    texts: Texts = {}
    for part in (
        _imports,
        _state,
        _control,
        _instance_list,
        _tool,
        _data,
        _times,
        _loss,
        _key_value,
    ):
        texts |= part(results)
    return texts


def mark(value: float, limit: float, how: str) -> str:
    """What the page says about a line of the target."""
    return NOT_MET if value > limit else how


def list_answer() -> bytes:
    """One answer of the instance list at the target."""
    rows = [_crowd._row(state.member(n)) for n in range(TARGET.members)]
    return json.dumps(rows).encode()


def _instance_list(results: Results) -> Texts:
    """What polling the instance list takes, and how late it tells of a loss."""
    answer = list_answer()
    size, packed = len(answer), len(zlib.compress(answer))
    period = poll_period(size)
    seconds = results.last("work", "instance_list_answer")
    return {
        "list_kb": f"{size / 1000:.0f}",
        "list_packed_kb": f"{packed / 1000:.0f}",
        "list_poll": f"{period:.0f}",
        "list_packed_poll": f"{poll_period(packed):.0f}",
        "list_kb_s": f"{size / period / 1000:.1f}",
        "list_ms": f"{1000 * seconds:.0f}",
        "list_deaths_kb_s": f"{deaths_polled(size) / 1000:.1f}",
        "list_deaths_packed": f"{deaths_polled(packed) / 1000:.2f}",
        "poll_least": f"{POLL_SECONDS:g}",
    }


def deaths_polled(size: int) -> float:
    """Bytes a second of the polls that an entry makes because holders have died."""
    deaths = TARGET.failures_a_day + TARGET.restarts_a_day
    return deaths * size / DAY_SECONDS


def _state(results: Results) -> Texts:
    """Bytes of each kind of state, resident."""
    names = ("members", "slot_tables", "decisions", "backend_models", "adapters")
    places = ("members", "tables", "decisions", "backend", "adapters")
    return {
        f"{place}_each": f"{results.fit('memory', f'{name}/memory').slope:,.0f}"
        for place, name in zip(places, names)
    }


def change_bytes(results: Results) -> float:
    """What one changed template of the target's size has a process send."""
    measured = results.value("gossip/document_bytes/large")
    carried = results.logarithmic("gossip", "large_bytes").at(math.log2(TARGET.members))
    return carried * template_bytes() / measured


def template_bytes() -> int:
    """The size of one customer's template at the target."""
    return len(state.template(0, state.Size()))


def sweep_block(results: Results) -> float:
    """For how long a sweep over the models holds the loop up at a time, in seconds."""
    return SWEEP_SLICE * results.fit("work", "slot_sweep").slope


def _imports(results: Results) -> Texts:
    found = results.raw["imports"]["values"]
    return {
        f"import_{name}": f"{one['resident_mib']:.0f}" for name, one in found.items()
    }


def _control(results: Results) -> Texts:
    """Processor time, memory and bytes that control takes, in each role."""
    texts: Texts = {}
    for role in ("entry", "agent"):
        texts |= _role(results, role)
    change = results.value(f"{FLEET}/change")
    return texts | {
        "channels_mib": f"{_channels(results, 'entry'):.0f}",
        "idle_kb": f"{results.value('channels/idle_each') / 1000:.1f}",
        "idle_s": f"{IDLE_TIMEOUT_MS / 1000:.0f}",
        "channel_kb": f"{results.fit('channels', 'opened').slope / 1000:.1f}",
        "change_cpu_ms": f"{1000 * change['cpu_each']:.1f}",
        "change_bytes": f"{change['bytes_each'] / 1000:.1f}",
        "change_template_kb": f"{change['template_bytes'] / 1000:.0f}",
        "template_kb": f"{template_bytes() / 1000:.0f}",
        "change_bytes_target": f"{change_bytes(results) / 1000:.0f}",
    }


def _role(results: Results, role: str) -> Texts:
    """What control takes in one role, with the ordinary day's changes and events."""
    whole = results.value(f"whole/{role}/1")
    change = results.value(f"{FLEET}/change")
    changes = TARGET.changes_a_day / DAY_SECONDS
    events = EVENTS_A_DAY / DAY_SECONDS * results.last("work", "member_dies")
    cpu = 100 * (whole["cpu"] + changes * change["cpu_each"] + events)
    # What a process receives is what others send, so on average it is as much.
    gossip = 2 * (whole["bytes_sent"] + changes * change_bytes(results))
    size = len(list_answer())
    polled = size / poll_period(size)
    polled += deaths_polled(size) if role == "entry" else 0.0
    return {
        f"{role}_cpu": f"{cpu:.1f}",
        f"{role}_cpu_rest": f"{100 * whole['cpu']:.1f}",
        f"{role}_cpu_mark": mark(cpu, CPU_LIMIT, MEASURED),
        f"{role}_bytes_gossip": f"{gossip / 1000:.2f}",
        f"{role}_bytes_gossip_mark": mark(gossip, BYTES_LIMIT, EXTRAPOLATED),
        f"{role}_bytes_all": f"{(gossip + polled) / 1000:.1f}",
        f"{role}_bytes_mark": mark(gossip + polled, BYTES_LIMIT, EXTRAPOLATED),
        f"{role}_settling": f"{whole['settling_seconds']:.0f}",
        f"{role}_settling_kb": f"{whole['settling_bytes'] / 1000:.1f}",
    } | _memory(results, role, whole)


def _memory(results: Results, role: str, whole: dict) -> Texts:
    added = whole["resident_added"]
    with_channels = added + _channels(results, role)
    total = whole["bare_resident_mib"] + with_channels
    return {
        f"{role}_bare": f"{whole['bare_resident_mib']:.0f}",
        f"{role}_bare_private": f"{whole['bare_private_mib']:.0f}",
        f"{role}_added": f"{added:.0f}",
        f"{role}_added_mark": mark(added, MEMORY_LIMIT, MEASURED),
        f"{role}_with_channels": f"{with_channels:.0f}",
        f"{role}_channels_mark": mark(with_channels, MEMORY_LIMIT, EXTRAPOLATED),
        f"{role}_whole": f"{total:.0f}",
        f"{role}_whole_mark": mark(total, MEMORY_LIMIT, MEASURED),
    }


def _channels(results: Results, role: str) -> float:
    """MiB of an entry's connections to all agents: those used within the time after
    which they are closed, and what the closed ones keep."""
    if role != "entry":
        return 0.0
    used = TARGET.requests / TARGET.entries * IDLE_TIMEOUT_MS / 1000
    idle = max(0.0, TARGET.agents - used) * results.value("channels/idle_each")
    return (results.fit("channels", "opened").slope * used + idle) / MIB


def _tool(results: Results) -> Texts:
    """The operators' command line over a fleet."""
    found = results.value(f"{FLEET}/tool")
    slope = results.fit("fleet", "tool/resident_mib").slope
    return {
        "tool_limit": f"{TOOL_LIMIT:.0f}",
        "fleet_size": f"{max(_fleet.SIZES)}",
        "tool_mark": mark(
            results.fit("fleet", "tool/resident_mib").at(TARGET.members),
            TOOL_LIMIT,
            EXTRAPOLATED,
        ),
        "tool_mib": f"{found['resident_mib']:.0f}",
        "tool_cpu": f"{found['cpu']:.1f}",
        "tool_slope_kb": f"{1024 * slope:.0f}",
        "tool_at_target": _at(results, "tool/resident_mib", 0),
        "tool_cpu_at_target": _at(results, "tool/cpu", 1),
    }


def _at(results: Results, series: str, digits: int) -> str:
    return f"{results.fit('fleet', series).at(TARGET.members):.{digits}f}"


def _data(results: Results) -> Texts:
    """What requests, tokens and streams cost an entry and an agent."""
    texts: Texts = {}
    shares = {"entry": TARGET.entries, "agent": TARGET.agents}
    for role, count in shares.items():
        found = results.value(f"requests/{role}-1")
        request, token = found["cpu_a_request"], found["cpu_a_token"]
        cpu = (TARGET.requests * request[0] + TARGET.tokens * token[0]) / count
        stream = results.fit("streams", f"{role}-1/resident")
        # A stream lasts as long as its tokens take, at the most that the target allows.
        open_each = TARGET.tokens / count * BETWEEN_LIMIT / 1000
        texts |= {
            f"{role}_request_ms": _spread(request, 1000, 1),
            f"{role}_token_us": _spread(token, 1e6, 0),
            f"{role}_relay_cpu": f"{100 * cpu:.0f}",
            f"{role}_stream_kib": f"{1024 * stream.slope:.0f}",
            f"{role}_streams": f"{open_each:.0f}",
            f"{role}_streams_mib": f"{open_each * stream.slope:.1f}",
            f"{role}_requests_s": f"{TARGET.requests / count:.1f}",
            f"{role}_tokens_s": f"{TARGET.tokens / count:,.0f}",
        }
    load = results.value("requests/loads")[-1]
    first, between = load["first_token_p95_ms"], load["between_tokens_p95_ms"]
    return texts | {
        "load_rate": f"{load['rate']}",
        "load_tokens": f"{load['tokens']}",
        "first_token": f"{first:.0f}",
        "first_token_mark": mark(first, FIRST_TOKEN_LIMIT, MEASURED),
        "between": f"{between:.0f}",
        "between_mark": mark(between, BETWEEN_LIMIT, MEASURED),
    }


def _spread(found: list[float], scale: float, digits: int) -> str:
    return f"{scale * found[0]:.{digits}f} ± {scale * found[1]:.{digits}f}"


def _times(results: Results) -> Texts:
    """How long news takes, carried to the target by the logarithm of the members."""
    members = math.log2(TARGET.members)
    real = results.logarithmic("fleet", "change/seconds_mean").at(members)
    small = results.logarithmic("gossip", "small_in_force").at(members)
    large = results.logarithmic("gossip", "large_in_force").at(members)
    slowest = max(real, small, large)
    return {
        "change_measured": f"{results.last('fleet', 'change/seconds_mean'):.2f}",
        "change_real_largest": f"{results.last('fleet', 'change/seconds_largest'):.2f}",
        "change_real": f"{real:.1f}",
        "change_straight": _at(results, "change/seconds_mean", 0),
        "change_small": f"{small:.1f}",
        "change_large": f"{large:.1f}",
        "change_mark": mark(slowest, CHANGE_LIMIT, EXTRAPOLATED),
        "death_known": f"{results.last('gossip', 'death_known'):.1f}",
        "death_at_target": _news(results, "death_known"),
        "leaving_at_target": _news(results, "leaving_known"),
        "gossip_rest": f"{results.last('gossip', 'bytes_sent'):.0f}",
        "gossip_small": f"{results.last('gossip', 'small_bytes') / 1000:.1f}",
        "gossip_large": f"{results.last('gossip', 'large_bytes') / 1000:.1f}",
        "gossip_most": f"{max(results.points('gossip', 'bytes_sent'))[0]:.0f}",
    }


def _news(results: Results, series: str) -> str:
    found = results.logarithmic("gossip", series).at(math.log2(TARGET.members))
    return f"{found:.1f}"


def _loss(results: Results) -> Texts:
    """What the loss of a rack or a zone costs those that are left."""
    dies = results.last("work", "member_dies")
    zone = results.last("work", "zone_dies")
    repair = results.fit("fleet", "repair")
    writes = results.fit("fleet", "repair_writes")
    rows = results.points("fleet", "repair")
    return {
        "zone_members": f"{TARGET.zone_members}",
        "zone_slots": f"{TARGET.zone_slots}",
        "dies_ms": f"{1000 * dies:.0f}",
        "joins_ms": f"{1000 * results.last('work', 'member_joins'):.0f}",
        "events_cpu": f"{100 * dies * EVENTS_A_DAY / DAY_SECONDS:.2f}",
        "events_mark": MEASURED,
        "zone_mark": mark(zone, ZONE_SECONDS * BUSY_SHARE, EXTRAPOLATED),
        "zone_dies_s": f"{zone:.1f}",
        "repair_slope": f"{repair.slope:.2f} ± {repair.spread:.2f}",
        "repair_least": f"{min(y for _, y in rows):.1f}",
        "repair_most": f"{max(y for _, y in rows):.1f}",
        "repair_lost_most": f"{max(x for x, _ in rows):.0f}",
        "writes_a_slot": f"{writes.slope:.2f} ± {writes.spread:.2f}",
        "zone_writes": f"{writes.slope * TARGET.zone_slots:.0f}",
        "sweep_ms": f"{1000 * sweep_block(results):.0f}",
        "sweep_cpu": f"{100 * results.last('work', 'slot_sweep') / SWEEP_PERIOD:.2f}",
        "parse_ms": f"{1000 * results.last('work', 'template_change'):.1f}",
        "table_us": f"{1e6 * results.last('work', 'table_change'):.0f}",
        "exchange_ms": f"{1000 * results.last('work', 'full_exchange'):.0f}",
        "rest_ms": f"{1000 * results.last('work', 'rest_second'):.1f}",
    }


def _key_value(results: Results) -> Texts:
    """The budget of the key-value service."""
    watches = TARGET.zones * WATCHERS_PER_ZONE * PREFIXES
    changes = TARGET.changes_a_day / DAY_SECONDS
    starts = (TARGET.failures_a_day + TARGET.restarts_a_day) / DAY_SECONDS
    share = KEY_VALUE_WRITES / CLAIM_WRITES / TARGET.requests
    wakes = 0.14 * (TARGET.models + TARGET.adapters) / 3600
    found = results.value(f"{FLEET}/key_value")
    woken = results.value("wakes/wakes")
    calls = sum(one["reads"] + one["writes"] for one in woken)
    start_reads = results.value(f"{FLEET}/reads_at_start")
    return {
        "watches": f"{watches}",
        "watches_measured": f"{found['watches']:.0f}",
        "watch_reopened": f"{watches / QUIET_WATCH_SECONDS:.1f}",
        "reads_measured": f"{found['reads_a_second']:.2f}",
        "changes_s": f"{changes:.3f}",
        "starts_s": f"{starts:.4f}",
        "start_reads": f"{start_reads:.1f}",
        "start_reads_s": f"{starts * start_reads:.3f}",
        "zone_start_reads": f"{TARGET.zone_members * start_reads:.0f}",
        "wakes_counted": f"{len(woken)}",
        "wake_calls": f"{calls}",
        "wake_mark": mark(calls, 0, MEASURED),
        "wakes_s": f"{wakes:.2f}",
        "claim_share": f"{100 * share:.0f}",
        "claim_writes_tenth": f"{CLAIM_WRITES * TARGET.requests * 0.1:.0f}",
        "claims_a_day": f"{TARGET.requests * 0.05 * DAY_SECONDS / 1e6:.1f}",
    }
