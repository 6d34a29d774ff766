"""The stand-in for the platform's key-value service.

It speaks the published etcd v3 JSON gateway over HTTP, limits the rates of reads and
writes, and takes faults under ``/control``: down, slow, or answers lost after a write
took effect.
"""

from bambootiller_standins.keyvalue._service import KeyValueService

__all__ = ["KeyValueService"]
