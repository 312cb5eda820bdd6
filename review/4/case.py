"""Clients leave while their bookings wait at a gateway for a connection."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from harness import ZONES, has_trouble, run_case  # noqa: E402

SERVICE = "booking-ledger"
ROUTE = {
    "name": "booking",
    "host": "search.example",
    "prefix": "/booking/",
    "route-type": "non_idempotent",
    "timeout-ms": 15000,
    "target-latency-ms": 1054,
    "priority": 2,
    "service": SERVICE,
    "max-attempts": 2,
    "allowed-regions": [],
}
SERVICES = [{"name": SERVICE, "max-conns": 31, "warmup-s": 3.0, "warmup-per-s": 0.0}]
WORK_S = 0.237
GATEWAYS_PER_ZONE = 3
CLIENTS = 45  # of one gateway, each with one request after the other
LEAVING_SHARE = 0.2  # of the clients
LEAVE_S = 0.527  # half of the route's latency target
DURATION_S = 8.0
GRACE_S = 0.5  # a request may reach a server this long after its client has left
A_FEW = 5  # requests


async def run_client(site, number, until):
    """Send bookings to the busy gateway; some clients leave early."""
    gateway = site.gateways[0]
    leaves = has_trouble() and number < LEAVING_SHARE * CLIENTS
    await asyncio.sleep(number * 0.02)
    while site.record.now() < until:
        request_id, answer = await site.send(
            gateway,
            "POST",
            "/booking/order",
            15000,
            LEAVE_S if leaves else None,
            b"one crew",
        )
        if answer.end == "client left":
            site.left_at[request_id] = site.record.now()


async def play(site):
    """Count the bookings that reach a server after their clients have left."""
    site.left_at = {}
    await site.start([zone for zone in ZONES for _ in range(GATEWAYS_PER_ZONE)])
    for zone in list(ZONES)[:2]:
        server = await site.add_server(SERVICE, zone, 3, 18, 31, WORK_S)
        server.register()
    site.write_config([ROUTE], SERVICES)
    await site.start_gateways()
    site.record.say("clients begin to send bookings")
    until = site.record.now() + DURATION_S
    await asyncio.gather(*(run_client(site, n, until) for n in range(CLIENTS)))
    await asyncio.sleep(3.0)

    late = [
        (request_id, round(at - site.left_at[request_id], 2))
        for server in site.servers
        for request_id, at in server.received
        if at > site.left_at.get(request_id, at) + GRACE_S
    ]
    late_ids = {request_id for request_id, _ in late}
    ran = sum(
        request_id in late_ids
        for server in site.servers
        for request_id, _ in server.ran
    )
    site.record.say(
        f"{len(site.left_at)} clients left; of their requests {len(late)} reached a "
        f"server more than {GRACE_S:g} s later, and {ran} ran"
    )
    site.record.add("late", requests=late)
    return len(late) <= A_FEW


if __name__ == "__main__":
    sys.exit(run_case(HERE, play))
