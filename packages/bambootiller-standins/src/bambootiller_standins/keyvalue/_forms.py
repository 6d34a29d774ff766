"""How the gateway writes its answers.

As the published gateway does, a field that holds its default (zero, false, empty,
``PUT``) is left out, and 64-bit numbers are strings.
"""

import base64
from collections.abc import Sequence
from typing import Any

from bambootiller_standins.keyvalue._store import Change, KeyValue

Form = dict[str, Any]

CLUSTER = "1"
MEMBER = "1"
TERM = "2"


def encode(raw: bytes) -> str:
    """Returns base64 text."""
    return base64.b64encode(raw).decode("ascii")


def header(revision: int) -> Form:
    """Returns the header that each answer carries."""
    return {
        "cluster_id": CLUSTER,
        "member_id": MEMBER,
        "revision": str(revision),
        "raft_term": TERM,
    }


def key_value(kv: KeyValue, *, keys_only: bool = False) -> Form:
    """Returns one key with its revisions."""
    form: Form = {"key": encode(kv.key)}
    if kv.create_revision:
        form["create_revision"] = str(kv.create_revision)
    form["mod_revision"] = str(kv.mod_revision)
    if kv.version:
        form["version"] = str(kv.version)
    if kv.value and not keys_only:
        form["value"] = encode(kv.value)
    if kv.lease:
        form["lease"] = str(kv.lease)
    return form


def range_answer(
    kvs: Sequence[KeyValue],
    revision: int,
    *,
    limit: int = 0,
    keys_only: bool = False,
    count_only: bool = False,
) -> Form:
    """Returns the answer of a range call; *kvs* holds all that matched."""
    form: Form = {"header": header(revision)}
    if kvs:
        form["count"] = str(len(kvs))
    if count_only or not kvs:
        return form
    shown = kvs[:limit] if limit > 0 else kvs
    form["kvs"] = [key_value(kv, keys_only=keys_only) for kv in shown]
    if len(shown) < len(kvs):
        form["more"] = True
    return form


def event(change: Change) -> Form:
    """Returns one event of a watch."""
    form: Form = {"kv": key_value(change.kv)}
    if change.deleted:
        form["type"] = "DELETE"
    return form


def watch_events(changes: Sequence[Change], revision: int, watch_id: int) -> Form:
    """Returns one message of a watch; no changes make a progress message."""
    result: Form = {"header": header(revision)}
    if watch_id:
        result["watch_id"] = str(watch_id)
    if changes:
        result["events"] = [event(change) for change in changes]
    return {"result": result}
