"""Two zones are evacuated in turn; the servers of the first come back cold."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from harness import BOUNDS, ZONES, has_trouble, run_case  # noqa: E402

SERVICE = "booking-ledger"
WARM_UP_PER_S = 4.0
WARM_UP_S = 3.0
GATEWAYS_PER_ZONE = 5
ROUTE = {
    "name": "booking",
    "host": "search.example",
    "prefix": "/booking/",
    "route-type": "idempotent",
    "timeout-ms": 2000,
    "target-latency-ms": 300,
    "priority": 2,
    "service": SERVICE,
    "max-attempts": 2,
    "allowed-regions": [],
}
SERVICES = [
    {
        "name": SERVICE,
        "max-conns": 110,
        "warmup-s": WARM_UP_S,
        "warmup-per-s": WARM_UP_PER_S,
    }
]
WORK_S = 0.03
PAUSE_S = 0.15  # of the client of each gateway, between two requests
FIRST_ZONE, SECOND_ZONE = list(ZONES)[:2]
WARM_TIME_S = 5.0
EVACUATED_S = 5.0
NOTICE_S = 1.2  # from a change in the store until the gateways know of it


async def run_client(site, gateway, until):
    """Send requests to one gateway, one after the other."""
    while site.record.now() < until:
        sent_at = site.record.now()
        request_id, _ = await site.send(gateway, "GET", "/booking/day", 2000)
        site.sent_at[request_id] = sent_at
        await asyncio.sleep(PAUSE_S)


def find_busiest_second(arrivals):
    """Return the most arrivals within any second."""
    times = sorted(arrivals)
    first = most = 0
    for last, at in enumerate(times):
        while at - times[first] >= 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


async def play(site):
    """Evacuate two zones in turn and count the requests to cold servers."""
    site.sent_at = {}
    zones = [zone for zone in ZONES for _ in range(GATEWAYS_PER_ZONE)]
    await site.start(zones)
    first, second = [
        await site.add_server(SERVICE, zone, 4, 16, 110, WORK_S)
        for zone in (FIRST_ZONE, SECOND_ZONE)
    ]
    site.write_config([ROUTE], SERVICES)
    for server in (first, second):
        server.register()
    await site.start_gateways()
    until = site.record.now() + 25.0
    clients = [
        asyncio.create_task(run_client(site, gateway, until))
        for gateway in site.gateways
    ]
    await asyncio.sleep(1.0)
    site.record.say("the servers are cold, as after a start")
    await be_cold(first, second)
    await asyncio.sleep(WARM_TIME_S)
    if has_trouble():
        site.store.put(f"op/evacuate/{FIRST_ZONE}", {})
        site.record.say(f"{FIRST_ZONE} is evacuated")
        await asyncio.sleep(EVACUATED_S)
        site.record.say(f"the server in {FIRST_ZONE} says that it is cold")
        cold = asyncio.create_task(be_cold(first))
        await asyncio.sleep(NOTICE_S)
        site.store.remove(f"op/evacuate/{FIRST_ZONE}")
        site.store.put(f"op/evacuate/{SECOND_ZONE}", {})
        site.record.say(f"{FIRST_ZONE} is back, and {SECOND_ZONE} is evacuated")
        await cold
    await asyncio.gather(*clients)

    bound = WARM_UP_PER_S * BOUNDS["warmup-overage"] + BOUNDS["warmup-slack"]
    held = True
    for server in (first, second):
        for told_at, warm_at in server.cold_times:
            # The gateways have to hear of a change before they can heed it.
            start = told_at + NOTICE_S
            arrivals = [
                at
                for request_id, at in server.received
                if start <= site.sent_at.get(request_id, 0.0) and at < warm_at
            ]
            most = find_busiest_second(arrivals)
            site.record.say(
                f"server in {server.zone}, cold from {told_at:.2f} to {warm_at:.2f}: "
                f"at most {most} requests in one second, of {bound:g} allowed"
            )
            site.record.add("arrivals", at=[round(at, 2) for at in arrivals])
            held = held and most <= bound
    return held


async def be_cold(*servers):
    """Have servers say that they are cold, and then that they are warm again."""
    told_at = servers[0].site.record.now()
    for server in servers:
        server.register(warmup_left_ms=WARM_UP_S * 1000)
    await asyncio.sleep(WARM_UP_S)
    for server in servers:
        server.cold_times.append((told_at, server.register()))


if __name__ == "__main__":
    sys.exit(run_case(HERE, play))
