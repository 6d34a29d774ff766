"""Requests for the policy's tests, with a field or two that matter."""

import itertools

from bambootiller_core.types import ModelTarget, Request

_numbers = itertools.count()


def a_request(**fields) -> Request:
    """A request of a model, due in 30 s unless ``fields`` say otherwise."""
    given = {
        "request_id": f"r{next(_numbers)}",
        "customer": "forge",
        "caller": "pupil",
        "target": ModelTarget("hints"),
        "deadline": 30.0,
    }
    return Request(**{**given, **fields})
