"""Stand-ins of the platform, and the gateway processes of one small deployment.

The store and the backend servers run in threads of their own with blocking sockets.
Only Python's standard library is used. All addresses are loopback addresses.
"""

import base64
import contextlib
import http.client
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
ZONES = {"kalpetta": "wayanad", "kattappana": "idukki", "nemmara": "palakkad"}
METRICS_PORT = 9464
MAX_VALUE_BYTES = 1_048_576  # of one item of the store
MAX_PAGE_BYTES = 1_000_000
HISTORY_S = 20.0  # for which the store keeps its history
BOUNDS = {
    "seed-lag-s": 3,
    "reuse-after-s": 2,
    "contact-ms": 5000,
    "ack-ms": 6000,
    "catch-up-s": 4,
    "drain-ms": 4000,
    "grace-s": 6,
    "loss-slack-ms": 200,
    "config-apply-ms": 4000,
    "rollback-slack-ms": 250,
    "max-skew-ms": 15000,
    "retry-budget-ratio": 0.2,
    "retry-window-s": 10,
    "budget-slack": 58,
    "warmup-overage": 1.5,
    "warmup-slack": 5,
    "evacuate-ms": 5000,
    "recovery-s": 12,
}


class CannotRunError(Exception):
    """Raised if a case can't run on this machine."""


class Record:
    """The file in which a case records what was sent, answered and run."""

    def __init__(self, path):
        self._file = path.open("w")
        self._started_at = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text):
        with self._lock:
            elapsed_s = time.monotonic() - self._started_at
            self._file.write(f"{elapsed_s:8.3f} {text}\n")
            self._file.flush()


class Listener:
    """A listening socket whose connections are each served by a thread."""

    def __init__(self, address=("127.0.0.1", 0)):
        self.socket = socket.create_server(address, backlog=128)
        self.address = "{}:{}".format(*self.socket.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                conn, _ = self.socket.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        reader = conn.makefile("rb")
        with contextlib.suppress(OSError, ValueError), conn:
            while True:
                request = read_request(reader)
                if request is None:
                    return
                conn.sendall(self.answer(request))

    def close(self):
        # Closing alone would leave a blocked accept with the port.
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()


class Request:
    """One request that a stand-in has read; header names are in lower case."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


def read_request(reader):
    """Read one request; return None at the end of the connection."""
    line = reader.readline()
    if not line:
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while (line := reader.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = reader.read(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


def encode_response(status, headers, body):
    """Return the bytes of a response with a length."""
    reason = http.client.responses.get(status, "Unknown")
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Store(Listener):
    """The platform's store, as far as the gateways read it."""

    def __init__(self, **kwargs):
        self.revision = 1
        self.calls = 0
        self.max_watch_bytes = None  # of the values in one answer; None: no bound
        self._items = {}
        self._events = []
        self._compacted = 0
        self._changed = threading.Condition()
        super().__init__(**kwargs)

    def put(self, key, value):
        """Write an item; the return is the acknowledgement."""
        with self._changed:
            self.revision += 1
            item = {
                "key": key,
                "value": base64.b64encode(encode_compact(value)).decode(),
                "revision": self.revision,
                "created-rev": self.revision,
                "lease": 0,
            }
            self._items[key] = item
            self._events.append((time.monotonic(), item))
            self._changed.notify_all()

    def answer(self, request):
        path = urlsplit(request.target)
        fields = {k: v[0] for k, v in parse_qs(path.query).items()}
        self.calls += 1
        if path.path == "/currantwharf/kv-range":
            return self._answer_range(fields)
        if path.path == "/currantwharf/kv-watch":
            return self._answer_watch(fields)
        return encode_response(404, {}, b"")

    def _answer_range(self, fields):
        with self._changed:
            after = fields.get("after", "")
            prefix = fields.get("prefix", "")
            keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
            items = take_first([self._items[k] for k in keys[:500]], MAX_PAGE_BYTES)
            answer = {
                "items": items,
                "truncated": len(items) < len(keys),
                "store-revision": self.revision,
            }
        return encode_json(answer)

    def _answer_watch(self, fields):
        after = int(fields["after"])
        prefix = fields.get("prefix", "")
        deadline = time.monotonic() + int(fields["wait-ms"]) / 1000
        with self._changed:
            while True:
                self._drop_history()
                if not self._compacted <= after <= self.revision:
                    return encode_response(410, {}, b"")
                events = [
                    item
                    for _, item in self._events
                    if item["revision"] > after and item["key"].startswith(prefix)
                ]
                left_s = deadline - time.monotonic()
                if events or left_s <= 0:
                    break
                self._changed.wait(min(left_s, 0.5))
            revision = self.revision
            if self.max_watch_bytes is not None:
                kept = take_first(events, self.max_watch_bytes)
                if len(kept) < len(events):
                    events, revision = kept, kept[-1]["revision"]
            answer = {"events": events, "store-revision": revision}
        return encode_json(answer)

    def _drop_history(self):
        horizon = time.monotonic() - HISTORY_S
        while self._events and self._events[0][0] < horizon:
            self._compacted = self._events.pop(0)[1]["revision"]


def take_first(items, max_bytes):
    """Return the first items whose values have `max_bytes` in all, one at least."""
    size = 0
    for count, item in enumerate(items):
        size += len(item["value"])
        if count and size > max_bytes:
            return items[:count]
    return items


def encode_compact(value):
    """Return a JSON document without spaces."""
    return json.dumps(value, separators=(",", ":")).encode()


def encode_json(body):
    """Return a response with a JSON document."""
    return encode_response(
        200, {"Content-Type": "application/json"}, encode_compact(body)
    )


class Server(Listener):
    """A sound backend server, which answers at once."""

    def __init__(self, record, service, zone, number):
        self.record = record
        self.service = service
        self.zone = zone
        self.id = f"i-{service}-{number}"
        self.runs = []
        self.born = int(time.time() * 1000)
        super().__init__()

    def answer(self, request):
        request_id = request.headers.get("x-request-id")
        expected = request.headers.get("x-expect-instance", self.id)
        echo = {"X-Request-Id": request_id}
        if request_id is None:
            return encode_response(400, {"X-Not-Executed": "1"}, b"")
        if expected != self.id:
            return encode_response(421, {"X-Instance-Id": self.id, **echo}, b"")
        self.runs.append((time.monotonic(), request_id, request.method, request.target))
        self.record.write(f"run {request_id} {request.target} at {self.id}")
        stamp = {"X-Server-Stamp": f"{self.id}.{request_id}", **echo}
        return encode_response(200, stamp, f"{self.id} {request_id}".encode())

    def describe(self):
        """Return the server's entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "warmup-left-ms": 0,
            "sequence": 1,
            "born": self.born,
        }


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(self, folder, settings, record):
        self.name = settings["node-name"]
        self.settings = settings
        self.path = folder / f"{self.name}.yaml"
        self.log_path = folder / f"{self.name}.log"
        self.record = record
        self.process = None
        self.write_settings()

    def write_settings(self):
        # JSON is YAML too.
        self.path.write_text(json.dumps(self.settings, indent=1))

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["gateway"]["run"])
        kept = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target/deps"),
            "CURRANTWHARF_NODE_FILE": str(self.path),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write(f"start {self.name}, process {self.process.pid}")

    def send_signal(self, number):
        self.record.write(f"signal {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def read_rss_mb(self):
        """Return the resident memory in MB, 0 if the process has ended."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def get_address(self, name):
        host, _, port = self.settings["listen"][name].rpartition(":")
        return host, int(port)

    def is_ready(self):
        return fetch_status(self.get_address("ready"), "/currantwharf/ready") == 200


def fetch_status(address, target, headers=None, method="GET", timeout_s=3.0):
    """Return the status of one request on a connection of its own, None if none."""
    try:
        return fetch(address, target, headers, method, timeout_s)[0]
    except (OSError, http.client.HTTPException):
        return None


def fetch(address, target, headers=None, method="GET", timeout_s=3.0):
    """Return status, headers and body of one request on a connection of its own."""
    conn = http.client.HTTPConnection(*address, timeout=timeout_s)
    try:
        conn.request(method, target, headers=headers or {})
        response = conn.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        conn.close()


def choose_network():
    """Return the first three bytes of loopback addresses with free ports."""
    for _ in range(50):
        network = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        try:
            with socket.create_server((f"{network}.1", METRICS_PORT)):
                return network
        except OSError:
            continue
    raise CannotRunError("no loopback network with free ports")


def choose_ports(host, count):
    """Return the first of `count` ports in a row that are free at a host."""
    for _ in range(50):
        first = random.randint(20_000, 30_000)
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + count):
                    stack.enter_context(socket.create_server((host, port)))
            except OSError:
                continue
            return first
    raise CannotRunError("no free ports")


class Deployment:
    """A store, servers and gateways, all ended by `close`."""

    def __init__(self, record, gateway_count=3):
        if not (ROOT / "target/deps").is_dir():
            raise CannotRunError("the deploy file has not been built")
        self.record = record
        self.folder = tempfile.TemporaryDirectory()
        self.store = Store()
        self.servers = []
        self.gateways = []
        network = choose_network()
        first = choose_ports(f"{network}.2", 10)
        seeds = [f"{network}.{2 + n}:{first + 2}" for n in range(min(3, gateway_count))]
        for number in range(gateway_count):
            zone = list(ZONES)[number % len(ZONES)]
            ip = f"{network}.{2 + number}"
            settings = {
                "node-name": f"front-{zone}-{number // len(ZONES) + 1}",
                "role": "gateway",
                "machine-class": "front",
                "serves": ["front", "control"],
                "ip": ip,
                "zone": zone,
                "region": ZONES[zone],
                "zones": ZONES,
                "listen": {
                    "front": f"{ip}:{first}",
                    "ready": f"{ip}:{first + 1}",
                    "control": f"{ip}:{first + 2}",
                },
                "port-range": [first + 3, first + 9],
                "seeds": seeds,
                "bootstrap": True,
                "counts-as-loss": False,
                "limits": {
                    "cpu-share": 0.537,
                    "cores": 2,
                    "memory-mb": 300,
                    "max-fds": 4100,
                    "link-mbps": 1000.0,
                    "disk-mb": 0,
                },
                "data-dir": None,
                "discovery": "platform",
                "entry": "vip",
                "heartbeat-ms": 1200,
                "fault-tolerance": {"machines": 2, "zones": 1, "regions": 1},
                "bounds": BOUNDS,
                "platform": {
                    "address": self.store.address,
                    "form": "read",
                    "writes-per-s": 400,
                    "reads-per-s": 2000,
                    "history-s": int(HISTORY_S),
                    "value-bytes": MAX_VALUE_BYTES,
                    "ttl-min-ms": 1000,
                },
            }
            gateway = Gateway(Path(self.folder.name), settings, record)
            self.gateways.append(gateway)

    def add_servers(self, service, count=2, server_class=Server):
        for number in range(count):
            zone = list(ZONES)[number % len(ZONES)]
            server = server_class(self.record, service, zone, number)
            self.servers.append(server)
            self.store.put(f"servers/{server.id}", server.describe())

    def publish(self, version, routes):
        services = sorted({route["service"] for route in routes})
        config = {
            "version": version,
            "routes": routes,
            "services": [make_service(name) for name in services],
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 262144,
                "header-timeout-ms": 10000,
                "idle-timeout-ms": 60000,
            },
        }
        size = len(encode_compact(config))
        if size > MAX_VALUE_BYTES:
            raise CannotRunError(f"the store accepts no value of {size} bytes")
        self.store.put("op/config", config)
        self.record.write(
            f"config {version} acknowledged: {len(routes)} routes, {size} bytes"
        )

    def start(self, timeout_s=15.0):
        for gateway in self.gateways:
            gateway.start()
        self.wait_until_ready(timeout_s)

    def wait_until_ready(self, timeout_s=15.0):
        deadline = time.monotonic() + timeout_s
        for gateway in self.gateways:
            while not gateway.is_ready():
                if time.monotonic() > deadline:
                    raise CannotRunError(f"{gateway.name} is not ready in time")
                time.sleep(0.1)

    def close(self):
        for gateway in self.gateways:
            gateway.end()
        for server in self.servers:
            server.close()
        self.store.close()
        self.folder.cleanup()


def make_service(name):
    """Return the description of a service in a configuration."""
    return {
        "name": name,
        "health-path": "/health",
        "max-conns": 45,
        "protocol": "h1",
        "tls": False,
        "warmup-s": 3.0,
        "warmup-per-s": 0.0,
    }


def make_route(name, prefix, service, timeout_ms=2500):
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": "search.example",
        "prefix": prefix,
        "route-type": "idempotent",
        "timeout-ms": timeout_ms,
        "target-latency-ms": 165,
        "priority": 2,
        "service": service,
        "max-attempts": 2,
        "allowed-regions": [],
    }


def make_headers(request_id, deadline_ms=2500):
    """Return the headers of a client's request."""
    return {
        "Host": "search.example",
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
    }


def run_case(folder, case):
    """Run a case and exit with its result: 0 held, 1 broken, 2 could not run.

    `case` is called with the record and whether there is a disruption, and returns
    what broke the rule, or None.
    """
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.write("with the disruption" if with_trouble else "without the disruption")
    # The processes are ended in `finally` blocks.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        broken = case(record, with_trouble)
    except Exception as exc:
        record.write(f"could not run: {exc!r}")
        print(f"could not run: {exc!r}")
        sys.exit(2)
    record.write(f"broken: {broken}" if broken else "held")
    print(f"broken: {broken}" if broken else "held")
    sys.exit(1 if broken else 0)
