"""The promises, checked on what callers, replicas and logs saw."""

from collections import Counter

from tests.soak.world import EVENTS, TIMEOUT_S

#: Statuses that promise that the call hasn't run.
NOT_RUN = (429, 503)
#: A final answer may come so much after the route's time: the machine is shared.
SLACK_S = 1.0
#: A replica that leaves may get work for so long: its word has to reach the entries.
LEAVING_S = 3.0
#: After the store was away for all, what it says may be known so much later: a watch
#: that was swallowed shows after 3.5 s. The first users' platform allows 4. Seconds.
CATCH_UP_S = 4.0
#: All entries know of a request's third crash after this time. Seconds.
CONTACT_S = 3.0
#: The crash after which a request is kept from all engines, and how many runs of it may
#: begin later.
QUARANTINE_CRASHES = 3
MOST_LATE = 3
#: The same of a part of prompts.
MOST_PART_CRASHES = 5
#: In which time calls are counted against a limit that a replica names. Seconds.
WINDOW_S = 4.0
#: Faults count for a call if they ended no longer before it: connections made while a
#: path was injured may be lost later. Seconds.
AFTERMATH_S = 3.0


def check(world, clients, injuries):
    """All promises; returns what was broken, in words."""
    attempts = [attempt for client in clients for attempt in client.attempts]
    broken = list(world.ended)
    broken += _runs(world, attempts)
    broken += _answers(attempts)
    broken += _waits(attempts, injuries)
    broken += _planned(attempts, injuries)
    broken += _replicas(world, injuries)
    broken += _configs(world)
    broken += _poison(world, injuries)
    broken += _poison_part(world, injuries)
    broken += _limits(world, injuries)
    return broken


def _poison(world, injuries):
    """Only a few tries of a request reach engines later than a moment after the third
    of them ended with it, by way of entries that were well."""
    engines = world.all_replicas()
    crashes = [at for engine in engines for at in engine.crash_times]
    runs = [at for engine in engines for at in engine.poison_times]
    late = _late(crashes, QUARANTINE_CRASHES, runs, world.poisonings, injuries)
    if late > MOST_LATE:
        yield f"poison: {late} late runs, {len(crashes)} engines ended"


def _poison_part(world, injuries):
    """The same of requests with a bad part, after the fifth end."""
    engines = world.all_replicas()
    crashes = [at for engine in engines for at in engine.part_crash_times]
    runs = [at for engine in engines for at in engine.part_times]
    late = _late(crashes, MOST_PART_CRASHES, runs, world.part_poisonings, injuries)
    if late > MOST_LATE:
        yield f"poison part: {late} late runs, {len(crashes)} engines ended"


def _late(crashes, most, runs, attempts, injuries):
    """How many runs were sent by entries that were well when all had to know."""
    if len(crashes) < most:
        return 0
    known_by = sorted(crashes)[most - 1] + CONTACT_S
    return sum(
        at > known_by and _sent_by_a_sound_entry(attempts, injuries, at) for at in runs
    )


def _limits(world, injuries):
    """What a replica gets under the limit that it names, by way of entries that were
    well."""
    for replica in world.all_replicas():
        for began, ended, per_s in replica.named:
            times = [
                at
                for at, attempt in replica.arrived
                if began + CONTACT_S <= at < ended
                and not _was_cut_off(replica, attempt, injuries, at)
            ]
            most = max((_within(times, at, WINDOW_S) for at in times), default=0)
            if most > 1.5 * per_s * WINDOW_S + 5:
                yield f"{replica.instance}: {most} calls in {WINDOW_S} s at {per_s}"


def _within(times, begin, seconds):
    return sum(begin <= at < begin + seconds for at in times)


def _was_cut_off(replica, attempt, injuries, at):
    """Whether the entry that sent the attempt, or its way there, was injured."""
    entry = attempt.partition("-")[0]
    name = replica.instance.rpartition("-")[0]
    return any(
        (entry in injury.on or (injury.name != "limit" and name in injury.on))
        and injury.began <= at
        and injury.ended + CONTACT_S >= at
        for injury in injuries
    )


def _sent_by_a_sound_entry(attempts, injuries, at):
    senders = {
        attempt.entry
        for attempt in attempts
        if attempt.sent_at <= at and at <= (attempt.ended_at or at)
    }
    return any(not _was_injured(entry, injuries, at) for entry in senders)


def _was_injured(entry, injuries, at):
    return any(
        (entry in injury.on or injury.on == "the store" or "agent" in injury.on)
        and injury.began <= at
        and injury.ended + CONTACT_S >= at
        for injury in injuries
    )


def _runs(world, attempts):
    runs = Counter(
        run.headers.get("x-request-attempt")
        for replica in world.all_replicas()
        for run in replica.runs
    )
    for attempt in attempts:
        count = runs[attempt.id]
        if attempt.kind == "unsafe" and count > 1:
            yield f"{attempt.id}: not idempotent, ran {count} times"
        if attempt.status in NOT_RUN and attempt.kind != "safe" and count:
            yield f"{attempt.id}: {attempt.status} says it hasn't run, ran {count}"
        if attempt.status == 200 and not attempt.error and not count:
            yield f"{attempt.id}: answered, but nobody ran it"


def _answers(attempts):
    for attempt in attempts:
        if attempt.status != 200 or attempt.error:
            continue
        own = attempt.id.encode()
        if attempt.kind != "stream":
            if attempt.body != own:
                yield f"{attempt.id}: got {attempt.body[:80]!r}"
            continue
        events = [
            b"id: %d\ndata: %s\n\n" % (number, own) for number in range(1, EVENTS + 1)
        ]
        if attempt.body != b"".join(events):
            yield f"{attempt.id}: looks whole, got {attempt.body[-120:]!r}"


def _waits(attempts, injuries):
    for attempt in attempts:
        waited = attempt.ended_at - attempt.sent_at
        halted = _excuses(attempt, injuries, ("pause", "kill", "stop"), attempt.entry)
        if waited > TIMEOUT_S + SLACK_S and not halted:
            yield f"{attempt.id}: its final answer took {waited:.1f} s"


def _planned(attempts, injuries):
    """With only planned work about, no call that was taken may lose its answer."""
    unplanned = [injury for injury in injuries if not injury.planned]
    for attempt in attempts:
        lost = attempt.error or attempt.status in (502, 504)
        # A stopped entry takes no connection; the call was never taken.
        if not lost or "ClientConnectorError" in str(attempt.error):
            continue
        if not _excuses(attempt, unplanned):
            yield f"{attempt.id}: planned work cost its answer: {attempt.error}"


def _excuses(attempt, injuries, names=None, on=None):
    return any(
        injury.began <= attempt.ended_at
        and injury.ended + AFTERMATH_S >= attempt.sent_at
        and (names is None or injury.name in names)
        and (on is None or injury.on == on)
        for injury in injuries
    )


def _known_by(left_at, injuries):
    """When every entry has to know that a replica leaves."""
    known_by = left_at + LEAVING_S
    for injury in sorted(injuries, key=lambda item: item.began):
        if injury.name != "store" or injury.began > known_by:
            continue
        if injury.ended + CATCH_UP_S > left_at:
            known_by = max(known_by, injury.ended + CATCH_UP_S)
    return known_by


def _replicas(world, injuries):
    for replica in world.all_replicas():
        for text in replica.memory_overcommits:
            yield f"{replica.instance}: memory overcommitted: {text}"
        if replica.left_at is None:
            continue
        known_by = _known_by(replica.left_at, injuries)
        late = [at for at in replica.run_times if at > known_by]
        if late:
            yield f"{replica.instance}: {len(late)} calls after it said it leaves"


def _configs(world):
    for program in world._programs:
        taken = [line["config_version"] for line in program.events("config_in_force")]
        if taken != sorted(taken):
            yield f"{program.document['node-name']}: versions in force went {taken}"
