"""A quick succession of large configurations: is the newest in force in time?"""

import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common2"))

import harness  # noqa: E402

ROUTES = 2_800  # twice a growth by 1,400; 0.57 MB of the 1 MB allowed
STORM_S, GAP_S = 2.0, 0.08  # the doses of `config_storm`
CALM_S = 6.0  # before the storm, longer than `contact-ms`
CONFIG_APPLY_S = 4.0
MARGIN_S = 1.0  # beyond the bound, before the first request that counts
ASKED_S = 6.0  # for which requests are sent
MIN_STALE = 5  # requests, so that no single one decides


def run(record, with_trouble):
    """Publish many versions quickly, then one that moves a route; ask that route."""
    deployment = harness.Deployment(record)
    try:
        # The pages name this bound for ranges, and none for watches.
        deployment.store.max_watch_bytes = harness.MAX_PAGE_BYTES
        deployment.add_servers("old")
        deployment.add_servers("new")
        routes = [
            harness.make_route(f"r-{n:05d}", f"/a{n:05d}/", "old")
            for n in range(ROUTES)
        ]
        version = 3
        deployment.publish(version, routes)
        deployment.start()
        time.sleep(CALM_S)
        changes = round(STORM_S / GAP_S) if with_trouble else 0
        due_at = time.monotonic()
        for number in range(changes):
            version += 3
            routes[-1]["timeout-ms"] = 2400 + number
            deployment.publish(version, routes)
            due_at += GAP_S
            time.sleep(max(0.0, due_at - time.monotonic()))
        version += 3
        routes[0]["service"] = "new"
        deployment.publish(version, routes)
        acknowledged_at = time.monotonic()
        time.sleep(CONFIG_APPLY_S + MARGIN_S)
        ends_at = time.monotonic() + ASKED_S
        stale = number = 0
        while time.monotonic() < ends_at:
            for gateway in deployment.gateways:
                number += 1
                stale += is_stale(gateway, f"q-{number}", version, acknowledged_at)
            time.sleep(0.4)
        record.write(f"requests run by the old service: {stale} of {number}")
        print(f"requests run by the old service: {stale} of {number}")
        if stale >= MIN_STALE:
            return "requests are run by the old service after `config-apply-ms`"
        return None
    finally:
        deployment.close()


def is_stale(gateway, request_id, version, acknowledged_at):
    """Send a request on the route that moved; return whether the old service ran it."""
    after_s = time.monotonic() - acknowledged_at
    status, headers, _ = harness.fetch(
        gateway.get_address("front"), "/a00000/x", harness.make_headers(request_id)
    )
    stamp = headers.get("x-server-stamp", "")
    gateway.record.write(
        f"sent {request_id} to {gateway.name}, {after_s:.1f} s after version "
        f"{version}: answered {status} by {stamp or 'nobody'}"
    )
    return stamp.startswith("i-old-")


if __name__ == "__main__":
    harness.run_case(HERE, run)
