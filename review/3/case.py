"""A server drains after the store has lost one answer to each gateway's watch."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from harness import BOUNDS, ZONES, CaseError, has_trouble, run_case  # noqa: E402

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
SERVICES = [{"name": SERVICE, "max-conns": 45, "warmup-s": 3.0, "warmup-per-s": 0.0}]
WORK_S = 0.237
LOSS_S = 4.5  # how long the store loses answers
MAX_LOST_SHARE = 0.35  # of its answers to watches in that time
CLIENTS = 6  # each sends one request after the other
PAUSE_S = 0.2
LIFE_AFTER_DRAIN_S = 7.0  # the drain time and a little longer


class LossWindow:
    """Loses the answers to the last change of a window, within the allowed share."""

    def __init__(self):
        self.is_losing = False
        self.given = 0
        self.lost = 0

    def loses(self, conn):
        self.given += 1
        self.lost += self.is_losing
        return self.is_losing


async def run_client(site, number, until):
    """Send bookings to one gateway, one after the other."""
    gateway = site.gateways[number % len(site.gateways)]
    while site.record.now() < until:
        await site.send(gateway, "POST", "/booking/order", 15000, body=b"one crew")
        await asyncio.sleep(PAUSE_S)


async def play(site):
    """Lose answers of the store, then drain a server and count late requests."""
    await site.start(list(ZONES))
    servers = [
        await site.add_server(SERVICE, zone, 4, 16, 45, WORK_S) for zone in ZONES
    ]
    for server in servers:
        server.register()
    site.write_config([ROUTE], SERVICES)
    await site.start_gateways()
    until = site.record.now() + 40.0
    clients = [
        asyncio.create_task(run_client(site, number, until))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(2.0)

    site.record.say("a window begins in which the store may lose answers")
    window = LossWindow()
    site.store.loses = window.loses
    started_at = site.record.now()
    for _ in range(4):
        site.write_config([ROUTE], SERVICES)
        await asyncio.sleep(1.0)
    window.is_losing = has_trouble()
    site.write_config([ROUTE], SERVICES)
    await asyncio.sleep(0.3)
    window.is_losing = False
    await asyncio.sleep(max(0.0, started_at + LOSS_S - site.record.now()))
    site.store.loses = lambda conn: False
    site.record.say(f"it ends; {window.lost} of {window.given} answers were lost")
    if window.lost > MAX_LOST_SHARE * window.given:
        raise CaseError("more answers were lost than the pages allow")

    # The core is stable, and the machines are in touch, `contact-ms` later.
    await asyncio.sleep(BOUNDS["contact-ms"] / 1000 + 0.5)
    leaver = servers[0]
    drained_at = leaver.register("draining")
    site.record.say("the store has accepted that a server is draining")
    await asyncio.sleep(LIFE_AFTER_DRAIN_S)
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
    site.record.say(
        f"requests that reached the server more than {allowed_s:.0f} s after the "
        f"acknowledgement: {len(late)}; the last came after {last_s:.2f} s"
    )
    site.record.add("late", requests=late)
    return not late


if __name__ == "__main__":
    sys.exit(run_case(HERE, play))
