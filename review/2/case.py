"""A server turns slow, and drains while bookings wait for a connection to it."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from harness import BOUNDS, ZONES, has_trouble, run_case  # noqa: E402

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
SLOW_FACTOR = 12.0
SLOW_S = 8.0
GATEWAYS_PER_ZONE = 3
CLIENTS = 45  # of one gateway, each with one request after the other
DRAIN_AFTER_S = 1.0  # from the time at which the server turns slow
EXIT_AFTER_S = 8.0  # the drain time and a little longer


async def run_client(site, number, until):
    """Send bookings to the busy gateway, one after the other."""
    await asyncio.sleep(number * 0.02)
    while site.record.now() < until:
        request_id, answer = await site.send(
            site.gateways[0], "POST", "/booking/order", 15000, body=b"one crew"
        )
        site.answers[request_id] = answer


async def play(site):
    """Drain the slow server and count the bookings that reach it too late."""
    site.answers = {}
    await site.start([zone for zone in ZONES for _ in range(GATEWAYS_PER_ZONE)])
    servers = [
        await site.add_server(SERVICE, zone, 3, 18, 31, WORK_S) for zone in ZONES
    ]
    for server in servers:
        server.register()
    site.write_config([ROUTE], SERVICES)
    await site.start_gateways()
    until = site.record.now() + 16.0
    clients = [
        asyncio.create_task(run_client(site, number, until))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(4.0)

    leaver = servers[0]
    factor = SLOW_FACTOR if has_trouble() else 1.0
    leaver.work_s = lambda target: WORK_S * factor
    slow_at = site.record.now()
    site.record.say(f"a server is {factor:g} times as slow, for {SLOW_S:g} s")
    await asyncio.sleep(DRAIN_AFTER_S)
    drained_at = leaver.register("draining")
    site.record.say("the store has accepted that this server is draining")
    await asyncio.sleep(slow_at + SLOW_S - site.record.now())
    leaver.work_s = lambda target: WORK_S
    await asyncio.sleep(drained_at + EXIT_AFTER_S - site.record.now())
    leaver.unregister()
    leaver.close()
    site.record.say("the server has exited")
    await asyncio.gather(*clients)

    allowed_s = BOUNDS["drain-ms"] / 1000
    late = [
        (request_id, round(at - drained_at, 2))
        for request_id, at in leaver.received
        if at > drained_at + allowed_s
    ]
    last_s = max((at for _, at in leaver.received), default=0.0) - drained_at
    lost = [
        request_id
        for request_id, _ in late
        if request_id in site.answers and site.answers[request_id].status != 200
    ]
    site.record.say(
        f"requests that reached the server more than {allowed_s:.0f} s after the "
        f"acknowledgement: {len(late)}, the last after {last_s:.2f} s; "
        f"{len(lost)} of them were not answered with success"
    )
    site.record.add("late", requests=late)
    return not late


if __name__ == "__main__":
    sys.exit(run_case(HERE, play))
