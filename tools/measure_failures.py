"""Measure how many queries each kind of failure affects and for how long.

In the fake world, nine instances in three data centres answer 100 queries per second
when a failure is injected. The table gives the number of queries without a complete
answer and the time from the failure to the last of them.
"""

import logging
from collections.abc import Callable

import click

from currantwharf.tests.builders import make_body, make_plan
from currantwharf.tests.fake_world import FakeWorld, SentRequest
from currantwharf.wire import Outcome

LOAD_BEFORE_FAILURE_S = 10.0
LOAD_AFTER_FAILURE_S = 15.0
QUERY_INTERVAL_S = 0.01


def _servers_in(world: FakeWorld, data_centre: str) -> list[str]:
    servers = world.config.servers
    return [name for name, s in servers.items() if s.data_centre == data_centre]


def _instances_in(world: FakeWorld, data_centre: str) -> set[str]:
    return {name for name, s in world.listed.items() if s.data_centre == data_centre}


def _pause_instances(world: FakeWorld, names: set[str]) -> None:
    """Make instances vanish silently: connections to them are not refused."""
    for name in names:
        world.pause(name)


def _fail_data_centre(world: FakeWorld) -> None:
    _pause_instances(world, _instances_in(world, "taipei"))
    for server in _servers_in(world, "taipei"):
        world.lose_backend(server)


def _fail_rack(world: FakeWorld) -> None:
    _pause_instances(world, {"i0"})
    for server in _servers_in(world, "taipei")[:2]:
        world.lose_backend(server)


FAILURE_INJECTORS: dict[str, Callable[[FakeWorld], None]] = {
    "none": lambda world: None,
    "process dies": lambda world: world.kill("i0"),
    "instance vanishes": lambda world: _pause_instances(world, {"i0"}),
    "backend server dies": lambda world: world.lose_backend("camphor-0-0"),
    "rack: 1 instance, 2 servers": _fail_rack,
    "data centre vanishes": _fail_data_centre,
    "data centre cut off": lambda world: world.part(_instances_in(world, "taipei")),
    "platform down": lambda world: setattr(world.platform, "down", True),
}


def measure(inject: Callable[[FakeWorld], None]) -> tuple[int, int, float]:
    """Return the number of queries, of incomplete ones, and the seconds to the last."""
    world = FakeWorld(make_plan(9, shards=3))
    _send_queries(world, LOAD_BEFORE_FAILURE_S)
    failed_at = world.clock.seconds()
    inject(world)
    sent = _send_queries(world, LOAD_AFTER_FAILURE_S)
    world.advance(2)
    incomplete = [at for at, query in sent if not _is_complete(query)]
    return (
        len(sent),
        len(incomplete),
        max(incomplete) - failed_at if incomplete else 0.0,
    )


def _send_queries(world: FakeWorld, seconds: float) -> list[tuple[float, SentRequest]]:
    sent = []
    for number in range(round(seconds / QUERY_INTERVAL_S)):
        # Stands for a load balancer that notices a failed instance at once.
        ready = [
            name
            for name in sorted(world.nodes)
            if not world.reactors[name].paused and world.nodes[name].is_ready()
        ]
        if ready:
            name = ready[number % len(ready)]
            sent.append((world.clock.seconds(), world.send(name, make_body(number))))
        world.advance(QUERY_INTERVAL_S)
    return sent


def _is_complete(query: SentRequest) -> bool:
    result = query.result
    return (
        result is not None
        and result.outcome is Outcome.ANSWERED
        and result.coverage.is_complete
    )


def main() -> None:
    """Print a Markdown table of all failures."""
    logging.disable(logging.CRITICAL)
    click.echo("| failure | queries | not whole | last after |\n|---|---|---|---|")
    for name, inject in FAILURE_INJECTORS.items():
        count, incomplete, seconds = measure(inject)
        click.echo(f"| {name} | {count} | {incomplete} | {seconds:.2f} s |")


if __name__ == "__main__":
    main()
