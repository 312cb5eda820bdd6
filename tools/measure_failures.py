"""Measure what each failure costs, in requests and seconds, in a fake world.

Nine instances in three data centres answer 100 queries a second; a failure is brought
about; the table counts the queries that were not answered whole and gives the time from
the failure to the last of them.
"""

import logging
from collections.abc import Callable

import click

from currantwharf.tests.builders import make_body, make_plan
from currantwharf.tests.fake_world import FakeWorld, SentRequest
from currantwharf.wire import Outcome

WARM_S = 10.0  # seconds
WATCHED_S = 15.0  # seconds
GAP_S = 0.01  # seconds between two queries


def _servers_in(world: FakeWorld, centre: str) -> list[str]:
    servers = world.config.servers
    return [name for name, s in servers.items() if s.data_centre == centre]


def _instances_in(world: FakeWorld, centre: str) -> set[str]:
    return {name for name, s in world.listed.items() if s.data_centre == centre}


def _vanish(world: FakeWorld, names: set[str]) -> None:
    """Let instances go without a trace: nothing refuses a connection."""
    for name in names:
        world.pause(name)


def _lose_centre(world: FakeWorld) -> None:
    _vanish(world, _instances_in(world, "taipei"))
    for server in _servers_in(world, "taipei"):
        world.lose_backend(server)


def _lose_rack(world: FakeWorld) -> None:
    _vanish(world, {"i0"})
    for server in _servers_in(world, "taipei")[:2]:
        world.lose_backend(server)


FAILURES: dict[str, Callable[[FakeWorld], None]] = {
    "none": lambda world: None,
    "process dies": lambda world: world.kill("i0"),
    "instance vanishes": lambda world: _vanish(world, {"i0"}),
    "backend server dies": lambda world: world.lose_backend("camphor-0-0"),
    "rack: 1 instance, 2 servers": _lose_rack,
    "data centre vanishes": _lose_centre,
    "data centre cut off": lambda world: world.part(_instances_in(world, "taipei")),
    "platform down": lambda world: setattr(world.platform, "down", True),
}


def measure(fail: Callable[[FakeWorld], None]) -> tuple[int, int, float]:
    """Return the queries sent, those not answered whole, and the seconds it took."""
    world = FakeWorld(make_plan(9, shards=3))
    _load(world, WARM_S)
    began = world.clock.seconds()
    fail(world)
    sent = _load(world, WATCHED_S)
    world.advance(2)
    bad = [at for at, each in sent if not _is_whole(each)]
    return len(sent), len(bad), max(bad) - began if bad else 0.0


def _load(world: FakeWorld, seconds: float) -> list[tuple[float, SentRequest]]:
    sent = []
    for number in range(round(seconds / GAP_S)):
        # The balancer knows at once which instances are gone.
        ready = [
            name
            for name in sorted(world.nodes)
            if not world.reactors[name].paused and world.nodes[name].is_ready()
        ]
        if ready:
            name = ready[number % len(ready)]
            sent.append((world.clock.seconds(), world.send(name, make_body(number))))
        world.advance(GAP_S)
    return sent


def _is_whole(sent: SentRequest) -> bool:
    result = sent.result
    return (
        result is not None
        and result.outcome is Outcome.ANSWERED
        and result.coverage.is_complete
    )


def main() -> None:
    """Print the table of all failures."""
    logging.disable(logging.CRITICAL)
    click.echo("| failure | queries | not whole | last after |\n|---|---|---|---|")
    for name, fail in FAILURES.items():
        count, bad, seconds = measure(fail)
        click.echo(f"| {name} | {count} | {bad} | {seconds:.2f} s |")


if __name__ == "__main__":
    main()
