"""How large a message between two processes may be."""

from bambootiller.settings import rows

#: What a message holds besides a caller's body: the text to go on behind (a million
#: tokens at most), headers, names.
REST_BYTES = 16 * 2**20


def largest_body_bytes() -> int:
    """The largest body that any process of a fleet may be set to take."""
    (row,) = (row for row in rows() if row.name == "max_body_bytes")
    return row.parse.high


#: The limit rests on the largest body that the setting allows, not on the value that
#: this process has. An entry that takes larger bodies than an agent receives would lose
#: each of them on the way: the agent's side refuses the message, the entry sees a
#: broken attempt, and the caller hears "unknown" of a call that never ran.
LARGEST_MESSAGE_BYTES = largest_body_bytes() + REST_BYTES

#: What a stream may have under way unread. Fixed, because gRPC otherwise measures the
#: path with a ping for nearly each message that it receives: at rest a third of a
#: process's wake-ups were for those. As much as 0.1 s between regions at 10 MB/s needs.
#: Bytes.
STREAM_WINDOW_BYTES = 2**20
FLOW_OPTIONS = (
    ("grpc.http2.bdp_probe", 0),
    ("grpc.http2.lookahead_bytes", STREAM_WINDOW_BYTES),
)
