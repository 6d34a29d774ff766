"""Carrying out calls on the store: ranges, puts, deletes, transactions."""

from collections.abc import Sequence

from bambootiller_standins.keyvalue import _forms as forms, _messages as messages
from bambootiller_standins.keyvalue._store import KeyValue, Store

LARGEST_VALUE_BYTES = 1024 * 1024
ABSENT = KeyValue(b"", b"", 0, 0, 0)


class DuplicateKey(Exception):
    """A transaction puts the same key twice."""


class ValueTooLarge(Exception):
    """A value is above the megabyte that the service takes."""


def run_range(store: Store, req: messages.RangeRequest) -> forms.Form:
    """Answers a range call."""
    if req.revision > 0:
        kvs = store.range_at(req.key, req.range_end, req.revision)
    else:
        kvs = store.range(req.key, req.range_end)
    return forms.range_answer(
        kvs,
        store.revision,
        limit=req.limit,
        keys_only=req.keys_only,
        count_only=req.count_only,
    )


def run_put(store: Store, req: messages.PutRequest) -> forms.Form:
    """Writes a key inside the open batch."""
    if len(req.value) > LARGEST_VALUE_BYTES:
        raise ValueTooLarge
    before = store.put(req.key, req.value, req.lease)
    if req.prev_kv and before is not None:
        return {"prev_kv": forms.key_value(before)}
    return {}


def run_delete(store: Store, req: messages.DeleteRangeRequest) -> forms.Form:
    """Deletes a range inside the open batch."""
    gone = store.delete(req.key, req.range_end)
    form: forms.Form = {}
    if gone:
        form["deleted"] = str(len(gone))
    if gone and req.prev_kv:
        form["prev_kvs"] = [forms.key_value(kv) for kv in gone]
    return form


def holds(store: Store, cond: messages.Compare) -> bool:
    """Tells whether a comparison holds; an absent key has revisions and version 0, and
    no value.
    """
    kv = store.get(cond.key)
    if kv is None and cond.target is messages.CompareTarget.VALUE:
        return False
    kv = kv or ABSENT
    found, wanted = {
        messages.CompareTarget.VERSION: (kv.version, cond.version),
        messages.CompareTarget.CREATE: (kv.create_revision, cond.create_revision),
        messages.CompareTarget.MOD: (kv.mod_revision, cond.mod_revision),
        messages.CompareTarget.VALUE: (kv.value, cond.value),
        messages.CompareTarget.LEASE: (kv.lease, cond.lease),
    }[cond.target]
    if cond.result is messages.CompareResult.EQUAL:
        return found == wanted
    if cond.result is messages.CompareResult.NOT_EQUAL:
        return found != wanted
    if cond.result is messages.CompareResult.GREATER:
        return found > wanted
    return found < wanted


def check_ops(store: Store, ops: Sequence[messages.RequestOp]) -> None:
    """Refuses a transaction before any part of it has taken effect."""
    seen: set[bytes] = set()
    for op in ops:
        if op.request_put is None:
            continue
        if op.request_put.key in seen:
            raise DuplicateKey
        seen.add(op.request_put.key)
        if len(op.request_put.value) > LARGEST_VALUE_BYTES:
            raise ValueTooLarge
        if op.request_put.lease:
            store.require_lease(op.request_put.lease)


def run_txn(store: Store, req: messages.TxnRequest) -> forms.Form:
    """Runs a transaction as a whole."""
    succeeded = all(holds(store, cond) for cond in req.compare)
    ops = req.success if succeeded else req.failure
    check_ops(store, ops)
    store.begin()
    responses = [_run_op(store, op) for op in ops]
    store.commit()
    form: forms.Form = {"header": forms.header(store.revision)}
    if succeeded:
        form["succeeded"] = True
    if responses:
        form["responses"] = responses
    return form


def _run_op(store: Store, op: messages.RequestOp) -> forms.Form:
    header = {"header": forms.header(store.revision + 1)}
    if op.request_put is not None:
        return {"response_put": header | run_put(store, op.request_put)}
    if op.request_delete_range is not None:
        deleted = run_delete(store, op.request_delete_range)
        return {"response_delete_range": header | deleted}
    if op.request_range is not None:
        return {"response_range": run_range(store, op.request_range)}
    return {}
