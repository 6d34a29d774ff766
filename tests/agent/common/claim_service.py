"""A key-value service in memory that decides late what becomes of a write.

Writes are handed over first and decided afterwards: carried out, carried out with the
answer lost, delayed beyond the answer, or not reached. A delayed write may be delivered
at any later moment, as from a buffer of the network.
"""

from dataclasses import dataclass, field

from bambootiller_core.claims import ClaimRecord, decode_claim
from bambootiller_core.ports import (
    Committed,
    Compare,
    Conflict,
    Found,
    Put,
    Record,
    WriteOutcome,
)


@dataclass
class ClaimService:
    """Keys with revisions, and the writes that are still on their way."""

    revision: int = 0
    records: dict[str, Record] = field(default_factory=dict)
    delayed: list[tuple[tuple[Compare, ...], tuple[Put, ...]]] = field(
        default_factory=list
    )

    def get(self, key: str) -> Found:
        record = self.records.get(key)
        return Found((record,) if record else (), self.revision)

    def apply(
        self, compares: tuple[Compare, ...], puts: tuple[Put, ...]
    ) -> WriteOutcome:
        """Carry out a transaction now."""
        if any(self._revision(item.key) != item.mod_revision for item in compares):
            present = [self.records.get(item.key) for item in compares]
            return Conflict(tuple(filter(None, present)), self.revision)
        self.revision += 1
        for put in puts:
            self.records[put.key] = Record(put.key, put.value, self.revision)
        return Committed(self.revision)

    def claim(self, key: str) -> ClaimRecord | None:
        """The claim that stands under a key."""
        record = self.records.get(key)
        return decode_claim(record.value) if record else None

    def _revision(self, key: str) -> int:
        record = self.records.get(key)
        return record.mod_revision if record else 0
