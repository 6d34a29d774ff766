"""Templates and slot tables, parsed from the documents that a process holds.

The documents are bytes with revisions; everything that decides on requests wants them
parsed and indexed: a caller by its key, a slot table by its model. The catalogue does
that once for each accepted document.
"""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Callable
from dataclasses import dataclass

from bambootiller import logs, templates
from bambootiller_core.documents import (
    SLOTS_PREFIX,
    TEMPLATES_PREFIX,
    Document,
    Documents,
)
from bambootiller_core.slots import SlotTable
from bambootiller_core.template import CallerPolicy, ModelPolicy, Template
from bambootiller_core.types import ModelKey

OnTemplate = Callable[[Template], None]
OnSlots = Callable[[SlotTable], None]

log = logs.logger("catalogue")


@dataclass(frozen=True, slots=True)
class CallerRef:
    """An authenticated caller with the template that it belongs to."""

    template: Template
    caller: CallerPolicy


class Catalogue:
    """What is in force in this process, by customer, by caller's key and by model."""

    def __init__(self, documents: Documents) -> None:
        self._templates: dict[str, Template] = {}
        self._template_revisions: dict[str, int] = {}
        self._callers: dict[str, tuple[str, str]] = {}
        self._tables: dict[ModelKey, SlotTable] = {}
        self._table_revisions: dict[ModelKey, int] = {}
        self._on_template: list[OnTemplate] = []
        self._on_slots: list[OnSlots] = []
        documents.subscribe(TEMPLATES_PREFIX, self._template_changed)
        documents.subscribe(SLOTS_PREFIX, self._slots_changed)

    def subscribe(
        self, on_template: OnTemplate | None = None, on_slots: OnSlots | None = None
    ) -> None:
        """Call back after each accepted template or slot table, and now for those
        held."""
        if on_template is not None:
            self._on_template.append(on_template)
            for template in self._templates.values():
                on_template(template)
        if on_slots is not None:
            self._on_slots.append(on_slots)
            for table in self._tables.values():
                on_slots(table)

    def customers(self) -> tuple[str, ...]:
        """The customers that have a template."""
        return tuple(self._templates)

    def template(self, customer: str) -> Template | None:
        """The customer's template in force here."""
        return self._templates.get(customer)

    def template_revision(self, customer: str) -> int:
        """The revision of the template in force here, or 0."""
        return self._template_revisions.get(customer, 0)

    def template_versions(self) -> dict[str, int]:
        """The version of each customer's template in force here."""
        return {name: item.version for name, item in self._templates.items()}

    def caller_by_key(self, key: str) -> CallerRef | None:
        """The caller that owns a bearer key, or None.

        The index holds hashes only, so neither a look-up nor a dump of this process's
        memory compares or shows the keys of others.
        """
        digest = hashlib.sha256(key.encode()).hexdigest()
        found = self._callers.get(digest)
        if found is None:
            return None
        template = self._templates[found[0]]
        caller = template.callers[found[1]]
        if not hmac.compare_digest(caller.key_sha256, digest):
            return None
        return CallerRef(template, caller)

    def policy(self, key: ModelKey) -> ModelPolicy | None:
        """What the template in force decides for a model."""
        template = self._templates.get(key.customer)
        return None if template is None else template.models.get(key.model)

    def slots(self, key: ModelKey) -> SlotTable | None:
        """The model's slot table, or None if none has been created."""
        return self._tables.get(key)

    def slots_revision(self, key: ModelKey) -> int:
        """The revision of the slot table held here, or 0."""
        return self._table_revisions.get(key, 0)

    def tables(self) -> tuple[SlotTable, ...]:
        """All slot tables."""
        return tuple(self._tables.values())

    def _template_changed(self, doc: Document) -> None:
        customer = doc.key.removeprefix(TEMPLATES_PREFIX)
        template = Template(customer, 0) if doc.deleted else _parse(doc)
        if template is None:
            return
        self._forget_callers(customer)
        self._templates[customer] = template
        self._template_revisions[customer] = doc.revision
        for name, caller in template.callers.items():
            self._callers[caller.key_sha256] = (customer, name)
        for callback in self._on_template:
            callback(template)

    def _slots_changed(self, doc: Document) -> None:
        if doc.deleted:
            return
        table = SlotTable.decode(doc.value)
        if not isinstance(table, SlotTable):
            log.error("slot table {} at {}: {}", doc.key, doc.revision, table)
            return
        self._tables[table.key] = table
        self._table_revisions[table.key] = doc.revision
        for callback in self._on_slots:
            callback(table)

    def _forget_callers(self, customer: str) -> None:
        old = self._templates.get(customer)
        if old is None:
            return
        for caller in old.callers.values():
            self._callers.pop(caller.key_sha256, None)


def _parse(doc: Document) -> Template | None:
    """The template of a document; one that a newer program wrote may not parse here.

    It is then left out and the template before it stays in force, loudly: half a
    template could refuse every caller of the customer.
    """
    outcome = templates.parse_stored(doc.value)
    if isinstance(outcome, Template):
        return outcome
    log.error("template {} at {}: {}", doc.key, doc.revision, outcome)
    return None
