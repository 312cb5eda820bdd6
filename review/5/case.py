"""A server that wants nothing for a time misses heartbeats meanwhile."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from harness import ZONES, has_trouble, run_case  # noqa: E402

SERVICE = "booking-ledger"
ROUTE = {
    "name": "booking",
    "host": "search.example",
    "prefix": "/booking/",
    "route-type": "idempotent",
    "timeout-ms": 15000,
    "target-latency-ms": 1054,
    "priority": 2,
    "service": SERVICE,
    "max-attempts": 2,
    "allowed-regions": [],
}
SERVICES = [{"name": SERVICE, "max-conns": 45, "warmup-s": 3.0, "warmup-per-s": 0.0}]
WORK_S = 0.237
CLIENTS = 12
PAUSE_S = 0.1
WANTS_NOTHING_S = 12.0
REJECTING_S = 1.0  # how long the server turns requests away
LAPSED_S = 2.0  # how long its entry is missing
GRACE_S = 0.5  # after a rejection
ALLOWED = 2  # requests of a machine in the time in which the server wants nothing


async def run_client(site, number, until):
    """Send requests to one gateway, one after the other."""
    gateway = site.gateways[number % len(site.gateways)]
    while site.record.now() < until:
        request_id, _ = await site.send(gateway, "GET", "/booking/day", 15000)
        site.gateways_by_id[request_id] = gateway.name
        await asyncio.sleep(PAUSE_S)


async def play(site):
    """Count the requests to a server in the time in which it wants nothing."""
    site.gateways_by_id = {}
    await site.start(list(ZONES))
    servers = [
        await site.add_server(SERVICE, zone, 4, 16, 45, WORK_S) for zone in ZONES
    ]
    for server in servers:
        server.register()
    site.write_config([ROUTE], SERVICES)
    await site.start_gateways()
    until = site.record.now() + 20.0
    clients = [
        asyncio.create_task(run_client(site, number, until))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(2.0)

    needy = servers[0]
    rejected = []

    def refuse(job):
        rejected.append((job.request_id, site.record.now()))
        return (("Retry-After", f"{WANTS_NOTHING_S:g}"),)

    site.record.say(f"a server turns requests away, for {WANTS_NOTHING_S:g} s each")
    needy.refuse = refuse
    await asyncio.sleep(REJECTING_S)
    needy.refuse = lambda job: None
    # It was last heard of some heartbeats ago.
    await asyncio.sleep(1.0)
    if has_trouble():
        needy.unregister()
        site.record.say("its entry has lapsed after three heartbeats of silence")
        await asyncio.sleep(LAPSED_S)
        needy.register()
        site.record.say("it writes its entry again")
    await asyncio.gather(*clients)

    first = {}
    for request_id, at in rejected:
        first.setdefault(site.gateways_by_id.get(request_id), at)
    unwanted = Counter()
    for request_id, at in needy.received:
        gateway = site.gateways_by_id.get(request_id)
        begins = first.get(gateway, float("inf")) + GRACE_S
        if begins < at < first.get(gateway, 0.0) + WANTS_NOTHING_S:
            unwanted[gateway] += 1
    for gateway, at in first.items():
        site.record.say(
            f"{gateway} was turned away at {at:.2f}; {unwanted[gateway]} of its "
            "requests reached the server in the time named"
        )
    return all(count <= ALLOWED for count in unwanted.values())


if __name__ == "__main__":
    sys.exit(run_case(HERE, play))
