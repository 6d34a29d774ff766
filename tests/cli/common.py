"""What the tests of changes share: drafts, authors and a pause that takes no time."""

from bambootiller.operators import audit, keys
from bambootiller.operators.changes import Author
from bambootiller.templates import parse_draft, parse_stored
from tests.common.fakekv import FakeKeyValue

DIGEST = "ab" * 32


def draft(replicas=1, customer="forge", digest=DIGEST, **changes):
    return parse_draft(
        {
            "customer": customer,
            "models": {"tutor": {"replicas": replicas, "memory_bytes": 1}},
            "callers": {"pupils": {"key_sha256": digest}},
            **changes,
        }
    )


def author(who="ada", token=None):
    return Author(who, "2030-01-01T00:00:00Z", f"{who}'s reason", token or f"t-{who}")


async def no_pause(attempt):
    pass


def stored_replicas(kv: FakeKeyValue, customer="forge") -> int:
    record = kv.records[keys.template_key(customer)]
    return parse_stored(record.value).models["tutor"].replicas


def trail(kv: FakeKeyValue, customer="forge"):
    prefix = keys.audit_prefix(customer)
    found = sorted(key for key in kv.records if key.startswith(prefix))
    return [audit.decode(kv.records[key].value) for key in found]
