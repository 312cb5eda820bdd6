"""Loads a settings file."""

from pathlib import Path

from result import Result

from currantwharf.config import InvalidDocument, load_document
from currantwharf.settings.settings import Settings


def load_settings(path: Path) -> Result[Settings, InvalidDocument]:
    """Read the YAML file at `path`; return the settings or all problems."""
    return load_document(Settings, path)
