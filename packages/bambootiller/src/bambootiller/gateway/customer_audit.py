"""Logs whose API keys and quotas a configuration has changed; never logs a key."""

from __future__ import annotations

from bambootiller.gateway.event_log import EventLog
from bambootiller_core.gateway.config import GatewayConfig
from bambootiller_core.gateway.log_lines import (
    CustomerKeysChanged,
    CustomerQuota,
    QuotasInForce,
)

#: The most customers whose quotas one log line lists; a configuration may have
#: thousands of customers.
MAX_LOGGED_QUOTAS = 40


class CustomerAudit:
    """Compares each configuration with the previous one.

    Example::

        gateway_state.on_config(CustomerAudit(events).configured)
    """

    def __init__(self, events: EventLog) -> None:
        self._events = events
        self._keys: dict[str, frozenset[bytes]] | None = None
        self._quotas: tuple[CustomerQuota, ...] = ()

    def configured(self, config: GatewayConfig) -> None:
        """Log what a configuration that has come into force changes."""
        self._log_keys(config)
        self._log_quotas(config)

    def _log_keys(self, config: GatewayConfig) -> None:
        before, keys = self._keys, {}
        if config.customers is not None:
            keys = config.customers.keys_by_name()
        self._keys = keys
        if before is None:
            return
        for name in sorted(before.keys() | keys.keys()):
            held, holds = before.get(name, frozenset()), keys.get(name, frozenset())
            if held != holds:
                line = CustomerKeysChanged(
                    customer=name,
                    added=len(holds - held),
                    removed=len(held - holds),
                    keys_left=len(holds),
                    config_version=config.version,
                    revision=config.revision,
                )
                self._events.emit(line)

    def _log_quotas(self, config: GatewayConfig) -> None:
        customers = config.customers.by_name.values() if config.customers else ()
        limited = [customer for customer in customers if customer.quota is not None]
        quotas = tuple(
            CustomerQuota(
                customer.name,
                customer.quota.rate_per_s,
                customer.quota.burst,
                customer.quota.unit.value,
            )
            for customer in limited
        )
        if quotas == self._quotas:
            return
        self._quotas = quotas
        left_out = max(0, len(quotas) - MAX_LOGGED_QUOTAS)
        line = QuotasInForce(config.version, quotas[:MAX_LOGGED_QUOTAS], left_out)
        self._events.emit(line)
