"""Run the fuzz test from a given seed, with more examples than CI.

A failure is shrunk and printed as a trace of steps.
"""

import logging

import click
from hypothesis import seed as set_seed
from hypothesis.stateful import run_state_machine_as_test

from currantwharf.tests.test_fuzz import FleetMachine, make_settings


@click.command()
@click.option("--examples", default=1500)
@click.option("--seed", default=1)
def main(examples: int, seed: int) -> None:
    """Run the fuzz test with EXAMPLES examples from SEED."""
    logging.disable(logging.CRITICAL)
    run_state_machine_as_test(
        set_seed(seed)(FleetMachine), settings=make_settings(examples, False)
    )
    click.echo(f"{examples} examples passed, seed {seed}")


if __name__ == "__main__":
    main()
