"""A new field in the settings: does a gateway that is restarted with it start?"""

import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common2"))

import harness  # noqa: E402

NEW_FIELD = ("read-zones", ["kalpetta", "kattappana"])  # of the section `platform`
MAX_ENDS = 3  # of the processes of one machine
MACHINES = 2  # on which that many ends break the rule
READY_S = 30.0  # allowed for a start
RESTART_S = 0.3


def restart(gateway, record):
    """Restart a gateway, again when its process ends; return how often it ended."""
    gateway.send_signal(signal.SIGTERM)
    gateway.process.wait()
    ends = 0
    time.sleep(RESTART_S)
    gateway.start()
    deadline = time.monotonic() + READY_S
    while time.monotonic() < deadline and ends < MAX_ENDS:
        time.sleep(0.2)
        code = gateway.process.poll()
        if code is not None:
            ends += 1
            last_line = gateway.log_path.read_text().splitlines()[-1][:300]
            record.write(f"{gateway.name} ended by itself with {code}: {last_line}")
            time.sleep(RESTART_S)
            gateway.start()
        elif gateway.is_ready():
            record.write(f"{gateway.name} is ready")
            return ends
    record.write(f"{gateway.name} is not ready, after {ends} ends by itself")
    return ends


def ask(gateway, request_id, record):
    """Send a request to a gateway; return the status of its answer, None if none."""
    status = harness.fetch_status(
        gateway.get_address("front"), "/a/x", harness.make_headers(request_id)
    )
    record.write(f"sent {request_id} to {gateway.name}, answered {status}")
    return status


def run(record, with_trouble):
    """Restart all gateways, one by one, with settings that may have a new field."""
    deployment = harness.Deployment(record)
    try:
        deployment.add_servers("ledger")
        deployment.publish(3, [harness.make_route("a", "/a/", "ledger")])
        deployment.start()
        for gateway in deployment.gateways:
            if ask(gateway, f"before-{gateway.name}", record) != 200:
                raise harness.CannotRunError("not served before the restart")
        ends = {}
        for gateway in deployment.gateways:
            gateway.settings["bootstrap"] = False
            if with_trouble:
                name, value = NEW_FIELD
                gateway.settings["platform"][name] = value
            gateway.write_settings()
            ends[gateway.name] = restart(gateway, record)
        statuses = [ask(g, f"after-{g.name}", record) for g in deployment.gateways]
        record.write(f"ends by themselves: {ends}")
        print(f"ends by themselves {ends}, answers {statuses}")
        if sum(n >= MAX_ENDS for n in ends.values()) >= MACHINES:
            return "the program doesn't start with settings that have a new field"
        return None
    finally:
        deployment.close()


if __name__ == "__main__":
    harness.run_case(HERE, run)
