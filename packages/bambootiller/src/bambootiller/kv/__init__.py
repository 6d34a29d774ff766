"""Adapters for the platform's key-value service, by the kind of service."""

from bambootiller.kv.etcd import EtcdKeyValue

__all__ = ["EtcdKeyValue"]
