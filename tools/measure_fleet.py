"""Measure the traffic and the convergence of a fleet at several sizes.

The instances run in the fake world, on simulated time. They encode their messages as
in production, so the number of bytes is real, but it does not include HTTP headers.
Prints a JSON list of series.
"""

import sys

import click
import msgspec

from currantwharf.bench.points import Series
from currantwharf.tests.builders import make_plan
from currantwharf.tests.fake_world import FakeWorld

STARTUP_S = 20.0  # the traffic of the fleet's start has ended after this time
MEASURED_S = 20.0
POLL_INTERVAL_S = 0.05
MAX_WAIT_S = 30.0


def measure(size: int) -> dict[str, float]:
    """Return the measured values of a fleet of `size` instances, by series name."""
    world = FakeWorld(make_plan(size))
    world.advance(STARTUP_S)
    counters_before = _read_counters(world)
    world.advance(MEASURED_S)
    rates = [
        (after - before) / MEASURED_S / size
        for before, after in zip(counters_before, _read_counters(world), strict=True)
    ]
    return {
        "control_calls": rates[0],
        "control_bytes": rates[1],
        "platform_calls": rates[2] * size,
        "in_force_s": _measure_time_in_force(world),
    }


def _measure_time_in_force(world: FakeWorld) -> float:
    """Publish a configuration and return the seconds until every instance has it."""
    world.set_data_centre("taipei", False)
    published_version = world.platform.values["config"].version
    waited_s = 0.0
    while waited_s < MAX_WAIT_S:
        configs = [node.current_config() for node in world.nodes.values()]
        versions = {config.version for config in configs if config is not None}
        if versions == {published_version}:
            return waited_s
        world.advance(POLL_INTERVAL_S)
        waited_s += POLL_INTERVAL_S
    return waited_s


def _read_counters(world: FakeWorld) -> tuple[int, int, int]:
    nodes = world.nodes.values()
    return (
        sum(n.messenger.calls_made for n in nodes),
        sum(n.messenger.bytes_sent for n in nodes),
        sum(n.fleet.reader.calls for n in nodes),
    )


def main() -> None:
    """Measure the fleet sizes given as arguments and print the series."""
    sizes = [int(size) for size in sys.argv[1:]] or [9, 27, 81, 243]
    values_by_size = {size: measure(size) for size in sizes}
    units = {
        "control_calls": "calls/s",
        "control_bytes": "bytes/s",
        "platform_calls": "calls/s",
        "in_force_s": "s",
    }
    series = [
        Series(
            name,
            "instances",
            unit,
            tuple(
                (float(size), round(values_by_size[size][name], 3)) for size in sizes
            ),
        )
        for name, unit in units.items()
    ]
    click.echo(msgspec.json.encode(series).decode())


if __name__ == "__main__":
    main()
