"""End the command line on a document that is not valid."""

import sys
from typing import TypeVar

import click
from result import Result

from currantwharf.cli.exit_code import ExitCode
from currantwharf.config import InvalidDocument

T = TypeVar("T")


def loaded_or_exit(result: Result[T, InvalidDocument]) -> T:
    """Return the document, or print every problem and exit."""
    if result.is_err():
        click.echo(str(result.unwrap_err()), err=True)
        sys.exit(ExitCode.SETTINGS)
    return result.unwrap()
