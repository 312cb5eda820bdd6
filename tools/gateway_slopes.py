"""Measure how the cost of a gateway's parts grows with size, for docs/CAPACITY.md.

Each series is printed as a Markdown row with its points and a fitted straight line.
"""

import random
import statistics
import time
import tracemalloc
from collections.abc import Callable

import click

from currantwharf.gateway.backend_answer import BackendAnswer, Verdict
from currantwharf.gateway.call_actions import SendAttempt
from currantwharf.gateway.changes import RevisedChange, StoreSnapshot
from currantwharf.gateway.gateway_limits import GatewayLimits
from currantwharf.gateway.gateway_request import GatewayRequest
from currantwharf.gateway.registry import Registry
from currantwharf.gateway.route import Route
from currantwharf.gateway.running_call import RunningCall
from currantwharf.gateway.server_choice import ServerChooser
from currantwharf.gateway.server_directory import ServerDirectory
from currantwharf.gateway.server_entry import ServerEntry
from currantwharf.gateway.store_change import ServerChanged
from currantwharf.peers.hello import Hello, decode_hello, encode_hello
from currantwharf.peers.peer_table import PeerTable

RUNS_PER_POINT = 9  # the median is reported
SHARD_COUNTS = (10, 50, 200, 500)
SERVER_COUNTS = (100, 400, 1000, 2900)
INSTANCE_COUNTS = (9, 85, 300, 710)
DATA_CENTRES = 7  # of the fleet at target size
ANSWER = BackendAnswer(Verdict.ANSWERED, 200, (), b"x" * 400, b"signature")


def make_registry(shards: int, replicas: int = 3) -> tuple[Registry, ServerChooser]:
    """Return a registry of `shards * replicas` servers, and its server chooser."""
    directory = ServerDirectory()
    chooser = ServerChooser(
        directory, GatewayLimits(0.2, 1e6), "r", {"a": "r"}, random.Random(1)
    )
    registry = Registry(directory, chooser)
    changes = tuple(
        RevisedChange(1, ServerChanged(make_entry(shard, replica)))
        for shard in range(shards)
        for replica in range(replicas)
    )
    registry.apply_snapshot(StoreSnapshot(changes, 1), 0.0)
    return registry, chooser


def make_entry(shard: int, replica: int) -> ServerEntry:
    """Return the registration of one server."""
    name = f"i-{shard:05}-{replica}"
    return ServerEntry(name, f"s{shard}", ("10.0.0.1", 80), "a", 2)


def measure_call_us(shards: int) -> float:
    """Return the processor time of the decisions of one query, in microseconds."""
    _, chooser = make_registry(shards)
    services = tuple(f"s{shard}" for shard in range(shards))
    route = Route("r", b"h", b"/", True, 1.0, 0.3, (), services, 2, 20, 0.9)
    request = GatewayRequest("r", b"GET", b"/", (), b"", "f", 0.0, 1.0, 0.3)

    def run() -> None:
        call = RunningCall(request, route, services, chooser, 0)
        for action in call.start(0.0):
            if isinstance(action, SendAttempt):
                call.on_attempt_result(action.attempt, ANSWER, 0.01)

    return median_us(run)


def measure_hello_us(instances: int) -> float:
    """Return the processor time to build, encode, decode and record a hello, in us.

    The instances are spread over `DATA_CENTRES`. The time includes the look-ups made
    with each hello: the reader, the hubs and the share of the budgets.
    """
    table = PeerTable("me", "z0", random.Random(1))
    for number in range(instances):
        data_centre = f"z{number % DATA_CENTRES}"
        table.record_hello(
            Hello(f"i{number}", "b", f"10.0.0.{number}", data_centre, True, True, 1),
            0.0,
        )

    def run() -> None:
        member_summaries, counts = (
            table.choose_member_summaries("z0", 0.0),
            table.list_counts(0.0),
        )
        hello = Hello(
            "i7", "b", "h", "z0", True, True, 1, member_summaries, counts=counts
        )
        decoded = decode_hello(encode_hello(hello))
        assert decoded is not None
        table.record_hello(decoded, 0.0)
        table.choose_reader(0.0, True)
        table.choose_hubs(0.0, 1.0)
        table.budget_share(0.0, 1.0)

    return median_us(run)


def measure_registry_kb(servers: int) -> float:
    """Return the memory of the registrations of `servers` servers, in kilobytes."""
    tracemalloc.start()
    registry = make_registry(servers // 3)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert registry
    return size / 1000


def median_us(run: Callable[[], None]) -> float:
    """Return the median processor time of a run, in microseconds."""
    times_us = []
    for _ in range(RUNS_PER_POINT):
        started_at = time.process_time()
        run()
        times_us.append((time.process_time() - started_at) * 1e6)
    return statistics.median(times_us)


def main() -> None:
    """Measure and print every series."""
    for name, unit, sizes, measure in (
        ("decisions of a query", "us", SHARD_COUNTS, measure_call_us),
        ("a hello, made and taken in", "us", INSTANCE_COUNTS, measure_hello_us),
        ("registrations", "kB", SERVER_COUNTS, measure_registry_kb),
    ):
        points = {size: measure(size) for size in sizes}
        slope, intercept = statistics.linear_regression(list(points), points.values())
        points_text = ", ".join(
            f"{size}: {value:.1f}" for size, value in points.items()
        )
        click.echo(
            f"| {name} | {points_text} "
            f"| {slope:.3g} {unit} each, from {intercept:.3g} |"
        )


if __name__ == "__main__":
    main()
