"""The JSON forms of the etcd v3 gateway: base64 for bytes, strings for 64-bit
numbers."""

from __future__ import annotations

import base64
from collections.abc import Sequence
from typing import Any

from bambootiller_core.ports import Changed, Compare, Delete, Put, Record

Form = dict[str, Any]


def encode(data: bytes) -> str:
    """Base64 text."""
    return base64.b64encode(data).decode("ascii")


def decode(text: str) -> bytes:
    """Bytes of base64 text; raises :class:`ValueError` if it isn't."""
    return base64.b64decode(text, validate=True)


def prefix_end(prefix: str) -> bytes:
    """The end of the range of all keys with a prefix, as the service wants it.

    It is the prefix with its last byte raised by one. Keys here are ASCII, so that byte
    is never 0xff.

    >>> prefix_end("/bambootiller/slots/")
    b'/bambootiller/slots0'
    """
    raw = prefix.encode()
    return raw[:-1] + bytes([raw[-1] + 1])


def record(form: Form) -> Record:
    """A key with its value and revisions; the gateway leaves zeros and blanks out."""
    return Record(
        key=decode(form["key"]).decode(),
        value=decode(form.get("value", "")),
        mod_revision=int(form.get("mod_revision", 0)),
        create_revision=int(form.get("create_revision", 0)),
    )


def revision(form: Form) -> int:
    """The service's revision in an answer's header."""
    return int(form["header"]["revision"])


def changed(form: Form) -> Changed:
    """One event of a watch."""
    return Changed(record(form["kv"]), deleted=form.get("type") == "DELETE")


def range_form(key: str, end: bytes = b"") -> Form:
    """The body of a range call."""
    form = {"key": encode(key.encode())}
    if end:
        form["range_end"] = encode(end)
    return form


def watch_form(prefix: str, from_revision: int) -> Form:
    """The body of a watch call."""
    create = range_form(prefix, prefix_end(prefix))
    create["start_revision"] = str(from_revision)
    create["progress_notify"] = True
    return {"create_request": create}


def transaction_form(
    compares: Sequence[Compare], writes: Sequence[Put | Delete]
) -> Form:
    """The body of a transaction that reads the compared keys if it doesn't hold."""
    keys = dict.fromkeys(compare.key for compare in compares)
    return {
        "compare": [_compare(compare) for compare in compares],
        "success": [_write(write) for write in writes],
        "failure": [{"request_range": range_form(key)} for key in keys],
    }


def conflict_records(form: Form) -> tuple[Record, ...]:
    """The present records of the compared keys, from a transaction that didn't hold."""
    found: list[Record] = []
    for response in form.get("responses", ()):
        kvs = response.get("response_range", {}).get("kvs", ())
        found.extend(record(kv) for kv in kvs)
    return tuple(found)


def _compare(compare: Compare) -> Form:
    return {
        "key": encode(compare.key.encode()),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(compare.mod_revision),
    }


def _write(write: Put | Delete) -> Form:
    key = encode(write.key.encode())
    if isinstance(write, Delete):
        return {"request_delete_range": {"key": key}}
    put = {"key": key, "value": encode(write.value)}
    if write.lease:
        put["lease"] = str(write.lease)
    return {"request_put": put}
