"""Status codes of HTTP answers."""

from __future__ import annotations

#: The statuses that a final answer can have (RFC 9110, section 15). Parsers let others
#: through, such as 0 or 600; an answer with one isn't HTTP, whatever follows.
FINAL_STATUSES = range(200, 600)
