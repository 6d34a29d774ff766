"""The border for customers' templates: text in, core data classes or problems out.

A template is written in TOML or JSON and stored as JSON, in one and the same form. It
may carry parameters, so that what changes often stands in one place:

    customer = "forge"

    [parameters]
    exam_replicas = 4

    [models.tutor]
    replicas = "${exam_replicas}"
    memory_bytes = "6GiB"

A string that is just ``${NAME}`` stands for that parameter's value, whatever its type.
Parameters are put in each time a template is read, so the stored form keeps them, and
``bambootiller template set`` changes one without the file.

Every problem names the path of the field, the value and what is allowed; all problems
of a template are reported together.
"""

import datetime
import json
import re
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, ValidationError

from bambootiller._template_models import AT, TemplateForm
from bambootiller_core.template import Template

__all__ = [
    "Draft",
    "FieldProblem",
    "MAX_STORED_BYTES",
    "TemplateRejected",
    "parse_draft",
    "parse_stored",
    "read_text",
]

#: The key-value service takes values up to a megabyte, key and overhead included.
MAX_STORED_BYTES = 900_000
MAX_SHOWN = 120

_REFERENCE = re.compile(r"\$\{([^}]*)\}")
_PARAMETER_NAME = re.compile(r"[A-Za-z_][A-Za-z0-9_]{0,63}")
_PARAMETER_TYPES = (str, int, float, bool, list)
_PARAMETER_ALLOWED = "text, a number, true, false, or a list of these"


@dataclass(frozen=True, slots=True)
class FieldProblem:
    """One field that can't be used: its path, its value as JSON, what is allowed."""

    path: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.path}: {self.value}; allowed: {self.allowed}"


@dataclass(frozen=True, slots=True)
class TemplateRejected:
    """Outcome of a template that can't be used, with every problem found."""

    problems: tuple[FieldProblem, ...]

    def __str__(self) -> str:
        return "\n".join(str(problem) for problem in self.problems)


@dataclass(frozen=True, slots=True)
class Draft:
    """A valid template: as written, and as the core uses it.

    ``written`` is plain JSON data with parameters still by reference; its version is
    the one that the author started from, or absent.
    """

    written: Mapping[str, Any]
    template: Template

    def stored(self, version: int) -> bytes:
        """The bytes to store at ``version``; equal templates give equal bytes."""
        document = {**self.written, "version": version}
        return json.dumps(document, sort_keys=True, separators=(",", ":")).encode()


def read_text(text: str, is_toml: bool) -> Draft | TemplateRejected:
    """Read a template as an operator wrote it.

    >>> str(read_text('{"customer": "forge", "max_runing": 3}', is_toml=False))
    ... # doctest: +ELLIPSIS
    'max_runing: 3; allowed: one of the fields batch_share, callers, ...'
    """
    try:
        raw = tomllib.loads(text) if is_toml else json.loads(text)
    except (ValueError, RecursionError) as exc:
        form = "TOML" if is_toml else "JSON"
        return _reject("(file)", f"isn't {form}: {exc}", f"a template in {form}")
    return parse_draft(raw)


def parse_stored(value: bytes) -> Template | TemplateRejected:
    """Read a template as it is stored."""
    try:
        raw = json.loads(value)
    except (ValueError, RecursionError) as exc:
        return _reject("(document)", f"isn't JSON: {exc}", "a template in JSON")
    outcome = parse_draft(raw)
    return outcome.template if isinstance(outcome, Draft) else outcome


def parse_draft(raw: object) -> Draft | TemplateRejected:
    """Check plain data, put the parameters in and build the core's template."""
    if not isinstance(raw, dict):
        return _reject("(file)", _shown(raw), "an object with the template's fields")
    try:
        plain = json.loads(json.dumps(raw, default=_plain_value, allow_nan=False))
    except ValueError:
        return _reject("(file)", "holds NaN or an infinity", "finite numbers")
    parameters = plain.get("parameters", {})
    problems = _check_parameters(parameters)
    if problems:
        return TemplateRejected(tuple(problems))
    body = {name: value for name, value in plain.items() if name != "parameters"}
    body = _put_in(body, parameters, "", problems)
    if problems:
        return TemplateRejected(tuple(problems))
    return _validate(plain, body)


def _validate(written: dict[str, Any], body: Any) -> Draft | TemplateRejected:
    try:
        form = TemplateForm.model_validate_json(json.dumps(body))
    except ValidationError as exc:
        errors = exc.errors(include_url=False)
        return TemplateRejected(tuple(_problem(error) for error in errors))
    draft = Draft(written, form.template())
    size = len(draft.stored(form.version))
    if size > MAX_STORED_BYTES:
        allowed = f"at most {MAX_STORED_BYTES} bytes when stored"
        return _reject("(file)", f"takes {size} bytes", allowed)
    return draft


def _plain_value(value: object) -> str:
    # TOML has times of its own; templates write them as text.
    if isinstance(value, datetime.time):
        form = "minutes" if not value.second and not value.microsecond else "auto"
        return value.isoformat(timespec=form)
    return str(value)


def _check_parameters(parameters: object) -> list[FieldProblem]:
    if not isinstance(parameters, dict):
        allowed = "names with their values"
        return [FieldProblem("parameters", _shown(parameters), allowed)]
    problems = []
    for name, value in parameters.items():
        path = f"parameters.{name}"
        if not _PARAMETER_NAME.fullmatch(name):
            allowed = "a name of letters, digits and '_', not first a digit"
            problems.append(FieldProblem(path, _shown(name), allowed))
        if not _is_parameter(value):
            problems.append(FieldProblem(path, _shown(value), _PARAMETER_ALLOWED))
    return problems


def _is_parameter(value: object) -> bool:
    entries = value if isinstance(value, list) else [value]
    return all(
        isinstance(entry, _PARAMETER_TYPES) and not isinstance(entry, list)
        for entry in entries
    )


def _put_in(
    value: Any, parameters: dict[str, Any], path: str, problems: list[FieldProblem]
) -> Any:
    """``value`` with each reference replaced by its parameter's value."""
    if isinstance(value, dict):
        return {
            name: _put_in(entry, parameters, _join(path, name), problems)
            for name, entry in value.items()
        }
    if isinstance(value, list):
        return [
            _put_in(entry, parameters, _join(path, number), problems)
            for number, entry in enumerate(value)
        ]
    match = _REFERENCE.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        return value
    if match[1] not in parameters:
        names = ", ".join(sorted(parameters)) or "none is defined"
        allowed = f"the names under parameters: {names}"
        problems.append(FieldProblem(path, _shown(value), allowed))
        return value
    return parameters[match[1]]


def _problem(error: Mapping[str, Any]) -> FieldProblem:
    path = ""
    for part in error["loc"]:
        # Pydantic marks a bad key of a mapping by this extra part.
        if part != "[key]":
            path = _join(path, part)
    value = error["input"]
    if error["type"] == AT:
        path = _join(path, error["ctx"]["path"]) if path else error["ctx"]["path"]
        value = error["ctx"]["value"]
    if error["type"] == "missing":
        return FieldProblem(path, "is missing", "a value; this field is required")
    return FieldProblem(path or "(file)", _shown(value), _allowed(error))


def _allowed(error: Mapping[str, Any]) -> str:
    if error["type"] == "extra_forbidden":
        fields = ", ".join(sorted(_fields_at(error["loc"][:-1])))
        return f"one of the fields {fields}"
    return error["msg"].removeprefix("Input should be ").removeprefix("a valid ")


def _fields_at(loc: tuple[str | int, ...]) -> list[str]:
    """The fields of the model at a place in the template."""
    model: type[BaseModel] = TemplateForm
    for part in loc:
        field = model.model_fields.get(part) if isinstance(part, str) else None
        if field is not None:
            model = _model_in(field.annotation) or model
    extra = ["parameters"] if model is TemplateForm else []
    return [*model.model_fields, *extra]


def _model_in(annotation: Any) -> type[BaseModel] | None:
    """The model that an annotation such as ``dict[Name, ModelForm]`` ends in."""
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    found = (_model_in(inner) for inner in getattr(annotation, "__args__", ()))
    return next((model for model in found if model is not None), None)


def _join(path: str, part: str | int) -> str:
    return f"{path}.{part}" if path else str(part)


def _shown(value: object) -> str:
    text = json.dumps(value, ensure_ascii=False, default=str)
    return text if len(text) <= MAX_SHOWN else text[: MAX_SHOWN - 3] + "..."


def _reject(path: str, value: str, allowed: str) -> TemplateRejected:
    return TemplateRejected((FieldProblem(path, value, allowed),))
