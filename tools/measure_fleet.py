"""Measure how a fleet acts together, in a fake world at several sizes.

Time is the fake world's; messages and bytes are what the instances really encode.
HTTP headers are not in the bytes. Prints a JSON list of series.
"""

import sys

import click
import msgspec

from currantwharf.bench.points import Series
from currantwharf.tests.builders import make_plan
from currantwharf.tests.fake_world import FakeWorld

QUIET_S = 20.0  # seconds after which the start of the fleet is over
MEASURED_S = 20.0  # seconds
STEP_S = 0.05  # seconds
LONGEST_S = 30.0  # seconds


def measure(size: int) -> dict[str, float]:
    """Return the figures of a fleet of `size` instances."""
    world = FakeWorld(make_plan(size))
    world.advance(QUIET_S)
    before = _counters(world)
    world.advance(MEASURED_S)
    rates = [
        (b - a) / MEASURED_S / size
        for a, b in zip(before, _counters(world), strict=True)
    ]
    return {
        "control_calls": rates[0],
        "control_bytes": rates[1],
        "platform_calls": rates[2] * size,
        "in_force_s": _time_in_force(world),
    }


def _time_in_force(world: FakeWorld) -> float:
    """Publish a change and return the seconds until every instance holds it."""
    world.set_data_centre("taipei", False)
    newest = world.platform.values["config"].version
    waited = 0.0
    while waited < LONGEST_S:
        held = [node.current_config() for node in world.nodes.values()]
        versions = {config.version for config in held if config is not None}
        if versions == {newest}:
            return waited
        world.advance(STEP_S)
        waited += STEP_S
    return waited


def _counters(world: FakeWorld) -> tuple[int, int, int]:
    nodes = world.nodes.values()
    return (
        sum(n.messenger.calls_made for n in nodes),
        sum(n.messenger.bytes_sent for n in nodes),
        sum(n.fleet.reader.calls for n in nodes),
    )


def main() -> None:
    """Measure the sizes given as arguments and print the series."""
    sizes = [int(size) for size in sys.argv[1:]] or [9, 27, 81, 243]
    found = {size: measure(size) for size in sizes}
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
            tuple((float(size), round(found[size][name], 3)) for size in sizes),
        )
        for name, unit in units.items()
    ]
    click.echo(msgspec.json.encode(series).decode())


if __name__ == "__main__":
    main()
