"""Run the examples in the doc comments of every module."""

import doctest
import importlib
import pkgutil
import sys

import click

import currantwharf


def main() -> int:
    """Run all doctests and return the exit code."""
    failed = attempted = 0
    for found in pkgutil.walk_packages(currantwharf.__path__, "currantwharf."):
        if ".tests" in found.name or found.name.endswith("__main__"):
            continue
        result = doctest.testmod(importlib.import_module(found.name))
        failed += result.failed
        attempted += result.attempted
    click.echo(f"{attempted - failed} doctest lines passed, {failed} failed")
    return 1 if failed or not attempted else 0


if __name__ == "__main__":
    sys.exit(main())
