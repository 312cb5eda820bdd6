"""Run the doctests of every module of the package."""

import doctest
import importlib
import pkgutil
import sys

import click

import currantwharf


def main() -> int:
    """Run all doctests and return the exit code."""
    failed = attempted = 0
    for module in pkgutil.walk_packages(currantwharf.__path__, "currantwharf."):
        if ".tests" in module.name or module.name.endswith("__main__"):
            continue
        result = doctest.testmod(importlib.import_module(module.name))
        failed += result.failed
        attempted += result.attempted
    click.echo(f"{attempted - failed} doctest lines passed, {failed} failed")
    return 1 if failed or not attempted else 0


if __name__ == "__main__":
    sys.exit(main())
