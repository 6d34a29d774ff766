"""The stand-in for a model engine beside one accelerator.

It loads and unloads models and adapters in limited memory, batches requests
continuously with a token timing, publishes state, a lagging load report and late cache
events, and takes faults under ``/control``.  Its answers are a pure function,
:func:`expected_answer`.
"""

from bambootiller_standins.engine._answers import (
    DEFAULT_MAX_TOKENS,
    AnswerTokens,
    chat_prompt,
    expected_answer,
    prefix_of,
    split_model,
)
from bambootiller_standins.engine._config import (
    GIB,
    EngineConfig,
    LoadTimes,
    ModelConfig,
    Tier,
)
from bambootiller_standins.engine._journal import (
    JournalLine,
    append_gone,
    most_replicas,
    read_journal,
)
from bambootiller_standins.engine._service import Engine

__all__ = [
    "AnswerTokens",
    "DEFAULT_MAX_TOKENS",
    "GIB",
    "Engine",
    "EngineConfig",
    "JournalLine",
    "LoadTimes",
    "ModelConfig",
    "Tier",
    "append_gone",
    "chat_prompt",
    "expected_answer",
    "most_replicas",
    "prefix_of",
    "read_journal",
    "split_model",
]
