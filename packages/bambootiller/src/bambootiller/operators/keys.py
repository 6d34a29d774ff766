"""Keys of templates and audit records in the key-value service.

The version in an audit record's key has leading zeros, so that a read by prefix answers
in the order of versions.
"""

from bambootiller_core.documents import TEMPLATES_PREFIX

TEMPLATES = TEMPLATES_PREFIX
AUDIT = "/bambootiller/audit/"
VERSION_DIGITS = 10


def template_key(customer: str) -> str:
    """The key of a customer's template.

    >>> template_key("forge")
    '/bambootiller/templates/forge'
    """
    return TEMPLATES + customer


def audit_prefix(customer: str) -> str:
    """The beginning of the keys of all of a customer's audit records."""
    return f"{AUDIT}{customer}/"


def audit_key(customer: str, version: int) -> str:
    """The key of the audit record of one accepted version.

    >>> audit_key("forge", 7)
    '/bambootiller/audit/forge/0000000007'
    """
    return f"{audit_prefix(customer)}{version:0{VERSION_DIGITS}d}"
