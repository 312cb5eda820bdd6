"""Read a settings file."""

from pathlib import Path

import yaml
from result import Err, Result

from currantwharf.config import InvalidDocument, Problem, parse_document
from currantwharf.settings.settings import Settings


def load_settings(path: Path) -> Result[Settings, InvalidDocument]:
    """Read the YAML file at `path` and check it whole.

    The result is either the settings or every problem that the file has, each with
    the file, the path of the key, what was found and what is allowed.
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
    return parse_document(Settings, value, str(path))
