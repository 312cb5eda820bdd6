"""Measure what a version of the configuration costs a fleet, in simulated time.

Each row is a fleet whose instances have links of 20 Mbit/s: how long a version takes
to be in force everywhere, and how much the instances send each other for it.

Example: `python tools/version_cost.py --instances 9 --instances 85`
"""

from dataclasses import replace

import click
import msgspec

from currantwharf.gateway.gateway_config import GatewayConfig
from currantwharf.tests.gateway_builders import make_config, make_route
from currantwharf.tests.simulated_fleet import STEP_S, SimulatedFleet

LINK_BYTES_PER_S = 2_500_000.0
DATA_CENTRES = {9: 3, 85: 6, 195: 7, 710: 7}
VERSIONS = 3  # the median is reported
DISCOVERY_S = 12.0
MAX_WAIT_S = 30.0


def make_large_config(version: int, routes: int) -> GatewayConfig:
    """Return a configuration with this number of routes."""
    route = make_route()
    return make_config(
        version,
        [
            replace(route, name=f"r-{number:05d}", prefix=b"/a%05d/" % number)
            for number in range(routes)
        ],
    )


def measure(instances: int, routes: int) -> tuple[float, float, float, float]:
    """Return medians for one version.

    They are the seconds until it is in force everywhere, the KB that an instance sends
    on average and at most, and the calls to the store.
    """
    data_centres = DATA_CENTRES.get(instances, 7)
    fleet = SimulatedFleet(instances, data_centres, LINK_BYTES_PER_S)
    fleet.publish(make_large_config(1, routes))
    fleet.start()
    fleet.run(DISCOVERY_S)
    rows = []
    for version in range(2, 2 + VERSIONS):
        fleet.sent_bytes.clear()
        fleet.store.calls.clear()
        fleet.publish(make_large_config(version, routes))
        waited_s = 0.0
        while fleet.versions() != {version: instances} and waited_s < MAX_WAIT_S:
            fleet.run(STEP_S)
            waited_s += STEP_S
        fleet.run(2.0)
        sent = fleet.sent_bytes
        rows.append(
            (
                waited_s,
                sum(sent.values()) / instances / 1000,
                max(sent.values(), default=0) / 1000,
                float(sum(fleet.store.calls.values())),
            )
        )
    rows.sort()
    return rows[len(rows) // 2]


@click.command()
@click.option("--instances", multiple=True, type=int, default=(9, 85, 195, 710))
@click.option("--routes", default=1_400)
def main(instances: tuple[int, ...], routes: int) -> None:
    """Print a Markdown table of the cost of a version by the size of the fleet."""
    size_kb = len(msgspec.msgpack.encode(make_large_config(1, routes))) / 1000
    click.echo(f"{routes} routes, {size_kb:.0f} KB as MessagePack")
    click.echo("| instances | in force after, s | KB sent, mean | most | store calls |")
    click.echo("|---|---|---|---|---|")
    for count in instances:
        waited_s, mean_kb, most_kb, calls = measure(count, routes)
        kilobytes = f"{mean_kb:.0f} | {most_kb:.0f}"
        click.echo(f"| {count} | {waited_s:.1f} | {kilobytes} | {calls:.0f} |")


if __name__ == "__main__":
    main()
