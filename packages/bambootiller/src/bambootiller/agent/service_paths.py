"""Which calls of a plain service may not be repeated.

The entry decides the same when a call arrives. It is decided here again because this
process is the last before the service: an entry that still holds an older template, or
reads a path less strictly than the service does, must not let a call run unclaimed.
"""

from __future__ import annotations

import posixpath
from urllib.parse import unquote

from bambootiller_core.template import ServicePolicy

MOST_UNQUOTES = 3


def normal_path(path: str) -> str:
    """The path as most services would read it: unquoted, dots resolved, no query."""
    bare = path.partition("?")[0]
    for _ in range(MOST_UNQUOTES):
        bare = unquote(bare)
    normal = posixpath.normpath("/" + bare.replace("\\", "/").lstrip("/"))
    return normal.casefold()


def may_not_repeat(policy: ServicePolicy | None, path: str) -> bool:
    """Whether the template in force declares calls of ``path`` non-idempotent."""
    if policy is None:
        return False
    normal = normal_path(path)
    return any(
        normal.startswith(normal_path(prefix)) for prefix in policy.non_idempotent
    )
