"""Unwrap a loaded document, or end the command with its problems."""

import dataclasses
import json
import sys
from typing import TypeVar

import click
from result import Result

from currantwharf.cli.exit_code import ExitCode
from currantwharf.documents.invalid_document import InvalidDocument

T = TypeVar("T")


def unwrap_or_exit(result: Result[T, InvalidDocument], as_json: bool = False) -> T:
    """Return the document in `result`, or print every problem and exit.

    With `as_json` the problems go to standard output as one JSON object, otherwise to
    standard error, one line each.
    """
    if result.is_ok():
        return result.unwrap()
    invalid = result.unwrap_err()
    if as_json:
        problems = [dataclasses.asdict(problem) for problem in invalid.problems]
        click.echo(json.dumps({"valid": False, "problems": problems}, indent=1))
    else:
        click.echo(str(invalid), err=True)
    sys.exit(ExitCode.SETTINGS)
