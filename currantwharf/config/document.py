"""Validate a document against a frozen data class and report all problems at once.

Pydantic derives the rules from the annotations of the data class. Unknown keys are
rejected, with the closest known key as a suggestion.
"""

import dataclasses
import difflib
import types
from collections.abc import Mapping
from typing import Any, TypeVar, get_args, get_origin

from pydantic import ConfigDict, TypeAdapter, ValidationError
from pydantic_core import ErrorDetails
from result import Err, Ok, Result

from currantwharf.documents.invalid_document import InvalidDocument
from currantwharf.documents.problem import Problem

T = TypeVar("T")

MAX_FOUND_TEXT_LENGTH = 60  # characters

_adapter_by_schema: dict[type, TypeAdapter[Any]] = {}


def parse_document(
    schema: type[T], value: object, source: str
) -> Result[T, InvalidDocument]:
    """Return `value` as an instance of `schema`, or all of its problems.

    `source` names the document in messages: a file's path or a published key. The
    running time is linear in the size of the document.

    >>> from currantwharf.config.data_centre import DataCentre
    >>> parse_document(DataCentre, {"region": "north"}, "example").unwrap().region
    'north'
    >>> refused = parse_document(DataCentre, {"regoin": "north"}, "example")
    >>> [str(problem) for problem in refused.unwrap_err().problems][1]
    "regoin: found an unknown key; allowed: did you mean 'region'?"
    """
    adapter = _adapter_by_schema.get(schema)
    if adapter is None:
        _forbid_unknown_keys(schema)
        adapter = _adapter_by_schema[schema] = TypeAdapter(schema)
    try:
        return Ok(adapter.validate_python(value))
    except ValidationError as exc:
        problems = tuple(_to_problem(schema, error) for error in exc.errors())
        return Err(InvalidDocument(source, problems))


def _forbid_unknown_keys(schema: type) -> None:
    """Configure a data class and those nested in it to reject unknown keys."""
    if not dataclasses.is_dataclass(schema) or "__pydantic_config__" in vars(schema):
        return
    schema.__pydantic_config__ = ConfigDict(extra="forbid")  # type: ignore[attr-defined]
    for field in dataclasses.fields(schema):
        for inner in _list_types_in(field.type):
            _forbid_unknown_keys(inner)


def _list_types_in(annotation: Any) -> list[type]:
    if isinstance(annotation, type) and not isinstance(annotation, types.GenericAlias):
        return [annotation]
    return [found for arg in get_args(annotation) for found in _list_types_in(arg)]


def _to_problem(schema: type, error: ErrorDetails) -> Problem:
    path = ".".join(str(step) for step in error["loc"]) or "(the whole document)"
    if error["type"] == "missing":
        return Problem(path, "nothing", "a value is required")
    if error["type"] == "unexpected_keyword_argument":
        return Problem(path, "an unknown key", _suggest_key(schema, error["loc"]))
    if error["type"] in ("dataclass_type", "dataclass_exact_type"):
        return Problem(path, _shorten(error["input"]), "a mapping of keys to values")
    return Problem(path, _shorten(error["input"]), error["msg"].lower())


def _suggest_key(schema: type, loc: tuple[int | str, ...]) -> str:
    known = _list_keys_at(schema, loc[:-1])
    matches = difflib.get_close_matches(str(loc[-1]), known, n=1)
    if matches:
        return f"did you mean '{matches[0]}'?"
    return "one of " + ", ".join(known)


def _list_keys_at(schema: type, loc: tuple[int | str, ...]) -> list[str]:
    """Return the keys allowed at `loc`, a path through data classes and mappings."""
    current: Any = schema
    for step in loc:
        if dataclasses.is_dataclass(current):
            fields = {field.name: field.type for field in dataclasses.fields(current)}
            current = fields.get(str(step))
        elif get_origin(current) in (dict, Mapping, tuple, list):
            current = get_args(current)[-1]
    if dataclasses.is_dataclass(current):
        return [field.name for field in dataclasses.fields(current)]
    return []


def _shorten(value: object) -> str:
    text = repr(value)
    if len(text) > MAX_FOUND_TEXT_LENGTH:
        return text[: MAX_FOUND_TEXT_LENGTH - 3] + "..."
    return text
