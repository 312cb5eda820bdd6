"""Run the fuzz test under each mutation and count the examples until it fails.

Prints a Markdown row for each mutation.
"""

import logging
import sys

import click

from currantwharf.tests import test_fuzz
from currantwharf.tests.mutations import MUTATIONS

MAX_EXAMPLES = 400


class CountingMachine(test_fuzz.FleetMachine):
    """A fleet machine that counts the examples that were started."""

    examples_started = 0

    def __init__(self) -> None:
        super().__init__()
        CountingMachine.examples_started += 1


def main() -> int:
    """Check every mutation and return the number that the fuzz test did not find."""
    logging.disable(logging.CRITICAL)
    test_fuzz.FleetMachine = CountingMachine
    undetected = 0
    for name, mutate in MUTATIONS.items():
        CountingMachine.examples_started = 0
        try:
            with mutate():
                test_fuzz.run_fuzz(MAX_EXAMPLES, derandomize=True, shrink=False)
        except Exception as exc:
            failure = str(exc).splitlines()[0][:60]
            click.echo(f"| {name} | {CountingMachine.examples_started} | {failure} |")
        else:
            undetected += 1
            click.echo(f"| {name} | not found in {MAX_EXAMPLES} | |")
    return undetected


if __name__ == "__main__":
    sys.exit(main())
