"""Soak real gateways under faults, for a number of seeds.

`python tools/soak.py --seeds 50 --first 100 --seconds 10`
"""

import sys
from pathlib import Path

import click

from currantwharf.tests.soak.soak import run_soak


@click.command()
@click.option("--seeds", default=10, help="Number of seeds.")
@click.option("--first", default=1, help="First seed.")
@click.option("--seconds", default=10.0, help="Seconds of faults for each seed.")
@click.option("--port", default=26000, help="First of the ports used.")
@click.option("--gateways", default=3, help="Processes; 14 or more have hubs.")
def main(seeds: int, first: int, seconds: float, port: int, gateways: int) -> None:
    """Run the soak and tell which seeds broke a promise."""
    failed = 0
    for seed in range(first, first + seeds):
        first_port = port + 20 * (seed % 100)
        found = run_soak(seed, seconds, first_port, Path("target/soak"), gateways)
        violations, outcomes, _ = found
        click.echo(f"seed {seed}: {len(violations)} violations, {dict(outcomes)}")
        for violation in violations[:10]:
            click.echo(f"  {violation}")
        failed += bool(violations)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
