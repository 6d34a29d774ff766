"""At most once: claims of non-idempotent calls.

A call that may not be repeated is claimed before it runs, by creating a record under
its idempotency key, which the key-value service does for one attempt only. No lease
bounds a claim: an agent that is paused between its claim and its run still holds it
when it wakes, and nobody else has run the call meanwhile. The reasons, the ways that
were weighed and the costs stand in ``docs/at-most-once.md``.

:class:`ClaimBook` is the state machine, :class:`ClaimRecord` what it writes, and the
:data:`ClaimOutcome` values what an attempt can come to.
"""

from bambootiller_core._claim_book import (
    MAX_BATCH,
    MAX_CLOSING,
    MAX_WAIT_FOR_HOLDER_S,
    ClaimBook,
)
from bambootiller_core._claim_entries import (
    FIRST_BACKOFF_S,
    MAX_BACKOFF_S,
    ClaimAttempt,
    ClaimRead,
    ClaimWrite,
)
from bambootiller_core._claim_outcomes import (
    Claimed,
    ClaimOutcome,
    ClaimUnavailable,
    Mismatch,
    Replay,
    Settled,
    Taken,
    refusal,
)
from bambootiller_core._claim_records import (
    CLAIMS_PREFIX,
    LARGEST_KEPT_ANSWER,
    ClaimRecord,
    ClaimState,
    KeptAnswer,
    MalformedClaim,
    claim_key,
    decode_claim,
    fingerprint,
)

__all__ = [
    "CLAIMS_PREFIX",
    "Claimed",
    "ClaimAttempt",
    "ClaimBook",
    "ClaimOutcome",
    "ClaimRead",
    "ClaimRecord",
    "ClaimState",
    "ClaimUnavailable",
    "ClaimWrite",
    "FIRST_BACKOFF_S",
    "KeptAnswer",
    "LARGEST_KEPT_ANSWER",
    "MAX_BACKOFF_S",
    "MAX_BATCH",
    "MAX_CLOSING",
    "MAX_WAIT_FOR_HOLDER_S",
    "MalformedClaim",
    "Mismatch",
    "Replay",
    "Settled",
    "Taken",
    "claim_key",
    "decode_claim",
    "fingerprint",
    "refusal",
]
