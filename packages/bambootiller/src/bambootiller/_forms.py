"""Registries of what may stand behind a URL of the settings.

The platform's services are reached by well-known forms, and another platform may have
others. Each form is registered under a name by a decorator, and the URL names it before
a plus sign; without one the default form is meant.

    >>> greetings = Forms("plain")
    >>> @greetings.register("plain")
    ... def greet():
    ...     return "hello"
    >>> greetings.of("plain+http://127.0.0.1:1")()
    'hello'
    >>> greetings.of("http://127.0.0.1:1")()
    'hello'
"""

from collections.abc import Callable
from typing import Generic, TypeVar

Form = TypeVar("Form")


class Forms(Generic[Form]):
    """What is registered under each name; ``default`` is meant by a plain URL."""

    def __init__(self, default: str) -> None:
        self._default = default
        self._forms: dict[str, Form] = {}

    def register(self, name: str) -> Callable[[Form], Form]:
        """Decorator that registers a form; a name can't be taken twice.

        A second form under the same name would replace the first wherever it happens to
        be imported, and the same URL would then mean two things.
        """
        if name in self._forms:
            raise ValueError(f"name {name!r} is taken; allowed: a name not yet taken")

        def decorate(form: Form) -> Form:
            self._forms[name] = form
            return form

        return decorate

    @property
    def names(self) -> tuple[str, ...]:
        """All registered names."""
        return tuple(self._forms)

    def name_of(self, url: str) -> str:
        """The name of the form that ``url`` means, registered or not."""
        name, plus, _ = url.partition("://")[0].rpartition("+")
        return name if plus else self._default

    def of(self, url: str) -> Form:
        """The form that ``url`` means; raises :class:`KeyError` for an unknown one."""
        return self._forms[self.name_of(url)]


def plain_url(url: str) -> str:
    """The URL without the name of its form.

    >>> plain_url("etcd+http://127.0.0.1:2379")
    'http://127.0.0.1:2379'
    """
    scheme, separator, rest = url.partition("://")
    return scheme.rpartition("+")[2] + separator + rest
