"""Run the fuzz under each mutation and say after how many examples it is found."""

import logging
import sys

import click

from currantwharf.tests import test_fuzz
from currantwharf.tests.mutations import MUTATIONS

MOST_EXAMPLES = 400


class CountingMachine(test_fuzz.FleetMachine):
    """Count the examples that were begun."""

    begun = 0

    def __init__(self) -> None:
        super().__init__()
        CountingMachine.begun += 1


def main() -> int:
    """Check every mutation and return how many were not found."""
    logging.disable(logging.CRITICAL)
    test_fuzz.FleetMachine = CountingMachine
    missed = 0
    for name, mutate in MUTATIONS.items():
        CountingMachine.begun = 0
        try:
            with mutate():
                test_fuzz.run_fuzz(MOST_EXAMPLES, derandomize=True, shrink=False)
        except Exception as exc:
            why = str(exc).splitlines()[0][:60]
            click.echo(f"| {name} | {CountingMachine.begun} | {why} |")
        else:
            missed += 1
            click.echo(f"| {name} | not found in {MOST_EXAMPLES} | |")
    return missed


if __name__ == "__main__":
    sys.exit(main())
