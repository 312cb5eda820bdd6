"""Run the fuzz for longer than CI does, from a seed, and print a shrunk trace."""

import logging

import click
from hypothesis import seed as seeded
from hypothesis.stateful import run_state_machine_as_test

from currantwharf.tests.test_fuzz import FleetMachine, make_settings


@click.command()
@click.option("--examples", default=1500)
@click.option("--seed", default=1)
def main(examples: int, seed: int) -> None:
    """Run EXAMPLES examples from SEED."""
    logging.disable(logging.CRITICAL)
    run_state_machine_as_test(
        seeded(seed)(FleetMachine), settings=make_settings(examples, False)
    )
    click.echo(f"{examples} examples hold, seed {seed}")


if __name__ == "__main__":
    main()
