"""Read a YAML file into a frozen data class."""

from pathlib import Path
from typing import TypeVar

import yaml
from result import Err, Result

from currantwharf.config.document import parse_document
from currantwharf.documents.invalid_document import InvalidDocument
from currantwharf.documents.problem import Problem

T = TypeVar("T")


def load_document(schema: type[T], path: Path) -> Result[T, InvalidDocument]:
    """Read the YAML file at `path` and validate all of it against `schema`.

    The result is either an instance of `schema` or an error with the file and all of
    its problems. Each problem states the path of the key, what was found and what is
    allowed.
    """
    try:
        value = yaml.safe_load(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as exc:
        problem = Problem("(the file)", str(exc), "a readable UTF-8 file")
        return Err(InvalidDocument(str(path), (problem,)))
    except yaml.YAMLError as exc:
        found = " ".join(str(exc).split())
        problem = Problem("(the whole document)", found, "a YAML mapping")
        return Err(InvalidDocument(str(path), (problem,)))
    return parse_document(schema, value, str(path))
