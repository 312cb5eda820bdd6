"""Measure the memory that a storm of large configurations takes in gateways.

Gateways run as processes of their own beside a stand-in of the platform. Each cell is
one storm on gateways that were just started: how many versions of which size, and the
peak resident memory of the largest process, as the kernel counts it.

Example: `python tools/storm_memory.py --versions 10 --versions 100`
"""

import json
import re
import tempfile
from pathlib import Path

import click
from twisted.internet import reactor

from currantwharf.standin.platform_site import PlatformSite
from currantwharf.tests.loopback import run_for, run_until
from currantwharf.tests.soak.gateway_process import GatewayProcess

MAX_VALUE_BYTES = 1_048_576  # the largest value that the platform's store accepts
GATEWAYS = 2
GAP_S = 0.02  # between two versions
HISTORY = 20  # changes that the store keeps
START_S = 3.0
SETTLE_S = 5.0
FIRST_PORT = 28_500


def make_routes(size: int, services: list[str]) -> list[dict[str, object]]:
    """Return routes whose JSON has at most `size` bytes."""
    routes: list[dict[str, object]] = []
    left = size - 500  # for what is around the routes
    while True:
        number = len(routes)
        route = {
            "name": f"r-{number:05d}",
            "host": "search.example",
            "prefix": f"/a{number:05d}/",
            "route-type": "idempotent",
            "timeout-ms": 2500,
            "target-latency-ms": 165,
            "service": services[number % len(services)],
            "max-attempts": 2,
        }
        left -= len(json.dumps(route)) + 2
        if left < 0:
            return routes
        routes.append(route)


def read_peak_mb(gateway: GatewayProcess) -> float:
    """Return the peak resident memory of a process in MB."""
    status = Path(f"/proc/{gateway.process.pid}/status").read_text()
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    return int(found.group(1)) / 1000 if found else 0.0


def measure(versions: int, share: float, first_port: int) -> float:
    """Play one storm; return the peak memory of the largest gateway in MB."""
    site = PlatformSite(reactor, shards=2, replicas=2)
    site.start()
    site.store.max_history = HISTORY
    gateways = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            for number in range(1, GATEWAYS + 1):
                path = site.write_settings(Path(folder), number, first_port)
                gateways.append(GatewayProcess(path, ""))
            run_for(START_S)
            routes = make_routes(int(share * MAX_VALUE_BYTES), site.shard_names())
            for _ in range(versions):
                site.publish(routes=routes)
                run_for(GAP_S)
            run_for(SETTLE_S)
            logs = [gateway.log_path for gateway in gateways]
            newest = f'"version": {site.version},'
            run_until(lambda: all(newest in log.read_text() for log in logs))
            return max(read_peak_mb(gateway) for gateway in gateways)
        finally:
            for gateway in gateways:
                gateway.kill_and_wait()
            site.stop()
            run_for(0.1)


@click.command()
@click.option("--versions", multiple=True, type=int, default=(10, 100, 1000))
@click.option("--share", multiple=True, type=float, default=(0.1, 0.5, 1.0))
def main(versions: tuple[int, ...], share: tuple[float, ...]) -> None:
    """Print a Markdown table of peak memory, by size and number of versions."""
    click.echo("| versions | " + " | ".join(f"{s:.1f} of 1 MB" for s in share) + " |")
    click.echo("|---" * (len(share) + 1) + "|")
    first_port = FIRST_PORT
    for count in versions:
        peaks = []
        for part in share:
            peaks.append(f"{measure(count, part, first_port):.0f} MB")
            first_port += 20
        click.echo(f"| {count} | " + " | ".join(peaks) + " |")


if __name__ == "__main__":
    main()
