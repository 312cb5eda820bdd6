"""An entry of another writer in the store: do the other servers stay in use?"""

import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common2"))

import harness  # noqa: E402

SERVERS = 6
NOTICE_S = 5.0  # from the entry to the first request
TRAFFIC_S = 20.0
INTERVAL_S = 0.1  # between two requests to a gateway
# A number of 401 digits, which no type of number can hold.
FOREIGN_SLOTS = 10**400


class Client(threading.Thread):
    """Sends requests to one gateway, each on a connection of its own."""

    def __init__(self, gateway, record):
        super().__init__(daemon=True)
        self.statuses = {}
        self._gateway = gateway
        self._record = record

    def run(self):
        ends_at = time.monotonic() + TRAFFIC_S
        number = 0
        while time.monotonic() < ends_at:
            number += 1
            request_id = f"{self._gateway.name}-{number}"
            status = harness.fetch_status(
                self._gateway.get_address("front"),
                "/a/x",
                harness.make_headers(request_id),
            )
            self.statuses[status] = self.statuses.get(status, 0) + 1
            self._record.write(f"sent {request_id}, answered {status}")
            time.sleep(INTERVAL_S)


def run(record, with_trouble):
    """Write one entry that names no usable server, then send requests."""
    deployment = harness.Deployment(record)
    try:
        deployment.add_servers("ledger", SERVERS)
        deployment.publish(3, [harness.make_route("a", "/a/", "ledger")])
        deployment.start()
        # Without the disruption it's a text, which is of another type as well.
        slots = FOREIGN_SLOTS if with_trouble else "4"
        entry = {**deployment.servers[0].describe(), "slots": slots}
        deployment.store.put("servers/i-of-another-writer", entry)
        record.write(f"the entry of another writer has {len(str(slots))} digits")
        time.sleep(NOTICE_S)
        clients = [Client(gateway, record) for gateway in deployment.gateways]
        for client in clients:
            client.start()
        for client in clients:
            client.join()
        statuses = [client.statuses for client in clients]
        runs = sum(len(server.runs) for server in deployment.servers)
        record.write(f"answers: {statuses}; requests run by servers: {runs}")
        print(f"answers {statuses}, runs {runs}")
        if not any(200 in found for found in statuses):
            return "no request is served, although all servers are sound"
        return None
    finally:
        deployment.close()


if __name__ == "__main__":
    harness.run_case(HERE, run)
