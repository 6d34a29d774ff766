"""The calls of the etcd v3 JSON gateway as validated models.

Keys and values are base64, 64-bit numbers may be strings or numbers, and a field may be
written in snake case or in camel case, as the gateway accepts both.
"""

import base64
import binascii
import enum
from typing import Annotated, Any

from pydantic import AliasGenerator, BaseModel, BeforeValidator, ConfigDict, Field
from pydantic.alias_generators import to_camel


def _decode(value: Any) -> bytes:
    if isinstance(value, bytes):
        return value
    try:
        return base64.b64decode(value, validate=True)
    except (binascii.Error, TypeError) as exc:
        raise ValueError(f"{value!r} is not base64") from exc


Base64 = Annotated[bytes, BeforeValidator(_decode)]


class _Message(BaseModel):
    model_config = ConfigDict(
        alias_generator=AliasGenerator(validation_alias=to_camel),
        populate_by_name=True,
        extra="ignore",
    )


class RangeRequest(_Message):
    """Reads one key, or the keys from *key* up to but without *range_end*."""

    key: Base64 = b""
    range_end: Base64 = b""
    limit: int = 0
    revision: int = 0
    keys_only: bool = False
    count_only: bool = False


class PutRequest(_Message):
    """Writes one key."""

    key: Base64
    value: Base64 = b""
    lease: int = 0
    prev_kv: bool = False


class DeleteRangeRequest(_Message):
    """Deletes one key or a range of keys."""

    key: Base64
    range_end: Base64 = b""
    prev_kv: bool = False


class CompareTarget(enum.StrEnum):
    """What a comparison of a transaction looks at."""

    VERSION = "VERSION"
    CREATE = "CREATE"
    MOD = "MOD"
    VALUE = "VALUE"
    LEASE = "LEASE"


class CompareResult(enum.StrEnum):
    """Which relation a comparison asks for."""

    EQUAL = "EQUAL"
    GREATER = "GREATER"
    LESS = "LESS"
    NOT_EQUAL = "NOT_EQUAL"


class Compare(_Message):
    """One condition of a transaction."""

    key: Base64
    target: CompareTarget = CompareTarget.VERSION
    result: CompareResult = CompareResult.EQUAL
    version: int = 0
    create_revision: int = 0
    mod_revision: int = 0
    value: Base64 = b""
    lease: int = 0


class RequestOp(_Message):
    """One operation of a transaction; exactly one field is set."""

    request_range: RangeRequest | None = None
    request_put: PutRequest | None = None
    request_delete_range: DeleteRangeRequest | None = None


class TxnRequest(_Message):
    """Runs *success* if all comparisons hold, else *failure*, at one revision."""

    compare: list[Compare] = []
    success: list[RequestOp] = []
    failure: list[RequestOp] = []


class CompactionRequest(_Message):
    """Drops the history up to a revision."""

    revision: int = Field(gt=0)


class LeaseGrantRequest(_Message):
    """Asks for a lease of *TTL* seconds; an ID of 0 lets the service choose."""

    TTL: int = Field(gt=0, validation_alias="TTL")
    ID: int = Field(default=0, validation_alias="ID")


class LeaseRequest(_Message):
    """Names a lease, to keep it alive or to revoke it."""

    ID: int = Field(validation_alias="ID")


class WatchCreate(_Message):
    """Asks for the changes of a range from *start_revision* on; 0 means from now on."""

    key: Base64 = b""
    range_end: Base64 = b""
    start_revision: int = 0
    watch_id: int = 0
    progress_notify: bool = False


class WatchRequest(_Message):
    """The body of a watch call."""

    create_request: WatchCreate
