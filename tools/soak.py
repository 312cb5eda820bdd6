"""Run the soak test of real gateway processes under faults, for several seeds.

Example: `python tools/soak.py --seeds 50 --first 100 --seconds 10`
"""

import sys
from pathlib import Path

import click

from currantwharf.tests.soak.soak import run_soak


@click.command()
@click.option("--seeds", default=10, help="Number of seeds.")
@click.option("--first", default=1, help="First seed.")
@click.option("--seconds", default=10.0, help="Seconds of faults for each seed.")
@click.option(
    "--port", default=26000, help="First port; the port ranges of seeds are 20 apart."
)
@click.option(
    "--gateways", default=3, help="Number of gateway processes; 14 or more use hubs."
)
def main(seeds: int, first: int, seconds: float, port: int, gateways: int) -> None:
    """Run the soak test and report the violations of each seed."""
    failed_seeds = 0
    for seed in range(first, first + seeds):
        first_port = port + 20 * (seed % 100)
        result = run_soak(seed, seconds, first_port, Path("target/soak"), gateways)
        violations, outcomes, _ = result
        click.echo(f"seed {seed}: {len(violations)} violations, {dict(outcomes)}")
        for violation in violations[:10]:
            click.echo(f"  {violation}")
        failed_seeds += bool(violations)
    sys.exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    main()
