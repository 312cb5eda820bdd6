"""Stand-ins of the platform's store, of backend servers and of clients, on loopback.

They follow the users' pages and use only the standard library. The gateways are real
processes, started with the command of the deploy file.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import deque
from pathlib import Path
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HTTP_HOST = "search.example"
ZONES = {"kalpetta": "wayanad", "kattappana": "idukki", "nemmara": "palakkad"}
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
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 421: "Misdirected", 503: "Busy"}


class CaseError(Exception):
    """Raised if a case cannot run; this says nothing about the rule."""


class Record:
    """The record of a run: one JSON object a line, with the seconds since its start."""

    def __init__(self, folder):
        self.started_at = time.monotonic()
        self._file = (Path(folder) / "record.txt").open("w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started_at

    def add(self, event, **fields):
        if self._file.closed:
            return
        line = {"t": round(self.now(), 4), "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")

    def say(self, text):
        self.add("note", text=text)
        print(f"{self.now():8.2f}  {text}", flush=True)

    def close(self):
        self._file.close()


class HttpProtocol(asyncio.Protocol):
    """A connection that reads one request after another."""

    def __init__(self, on_request, on_lost=lambda conn: None):
        self._on_request = on_request
        self._on_lost = on_lost
        self._buffer = b""
        self.transport = None
        self.is_busy = False
        self.job = None

    def connection_made(self, transport):
        self.transport = transport

    def connection_lost(self, exc):
        self._on_lost(self)

    def data_received(self, data):
        self._buffer += data
        self._read_next()

    def _read_next(self):
        head, found, rest = self._buffer.partition(b"\r\n\r\n")
        if self.is_busy or not found:
            return
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        size = int(headers.get("content-length", "0"))
        if len(rest) < size:
            return
        self._buffer = rest[size:]
        self.is_busy = True
        method, target, _ = lines[0].split(" ", 2)
        self._on_request(self, method, target, headers, rest[:size])

    def answer(self, status, headers=(), body=b""):
        """Write an answer, unless the connection has ended."""
        if self.transport is None or self.transport.is_closing():
            return
        lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append(f"Content-Length: {len(body)}")
        self.transport.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        self.is_busy = False
        asyncio.get_running_loop().call_soon(self._read_next)


class Store:
    """The platform's store: ranges and watches over one history of changes.

    `loses(conn)` is asked for each answer that brings changes to a watch. If it returns
    true, the answer is lost, and its connection returns nothing further.
    """

    def __init__(self, record):
        self.record = record
        self.revision = 10
        self.address = ""
        self.loses = lambda conn: False
        self._items = {}
        self._events = []
        self._watches = []
        self._lost = set()
        self._server = None

    async def start(self):
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: HttpProtocol(self._handle, self._on_lost), HOST, 0
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"

    def put(self, key, value):
        """Write an item; return its revision."""
        self.revision += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "created-rev": self.revision,
            "lease": 0,
        }
        self._items[key] = item
        self._publish(item)
        return self.revision

    def remove(self, key):
        """Remove an item; return the revision of its removal."""
        self.revision += 1
        self._items.pop(key, None)
        self._publish({"key": key, "revision": self.revision, "removed": True})
        return self.revision

    def _publish(self, event):
        self._events.append(event)
        self.record.add(
            "store written",
            key=event["key"],
            revision=event["revision"],
            removed=event.get("removed", False),
        )
        self._watches = [w for w in self._watches if not self._answer_watch(*w)]

    def _handle(self, conn, method, target, headers, body):
        if conn in self._lost:
            return
        path, _, query = target.partition("?")
        fields = {
            key: values[0]
            for key, values in parse_qs(query, keep_blank_values=True).items()
        }
        if path == "/currantwharf/kv-range":
            self._answer_range(conn, fields)
        elif path == "/currantwharf/kv-watch":
            self._open_watch(conn, fields)
        elif path == "/currantwharf/kv-key":
            item = self._items.get(fields.get("key", ""))
            document = None if item is None else {**item}
            self._finish(conn, 404 if item is None else 200, document)
        else:
            self._finish(conn, 404)

    def _finish(self, conn, status, document=None):
        body = b""
        if document is not None:
            document = {**document, "store-revision": self.revision}
            body = json.dumps(document).encode()
        headers = (("Content-Type", "application/json"), ("Store-Era", "1"))
        conn.answer(status, headers, body)

    def _answer_range(self, conn, fields):
        prefix, after = fields.get("prefix", ""), fields.get("after", "")
        items = [
            item
            for key, item in sorted(self._items.items())
            if key.startswith(prefix) and key > after
        ]
        self._finish(conn, 200, {"items": items, "truncated": False})

    def _open_watch(self, conn, fields):
        prefix, after = fields.get("prefix", ""), int(fields["after"])
        if after > self.revision:
            self._finish(conn, 410)
            return
        watch = (conn, prefix, after)
        if self._answer_watch(*watch):
            return
        self._watches.append(watch)
        wait_s = min(30.0, int(fields.get("wait-ms", "0")) / 1000)
        asyncio.get_running_loop().call_later(wait_s, self._expire_watch, watch)

    def _expire_watch(self, watch):
        if watch in self._watches:
            self._watches.remove(watch)
            self._finish(watch[0], 200, {"events": []})

    def _answer_watch(self, conn, prefix, after):
        events = [
            event
            for event in self._events
            if event["revision"] > after and event["key"].startswith(prefix)
        ]
        if not events:
            return False
        if self.loses(conn):
            self._lost.add(conn)
            self.record.add("store answer lost", revision=self.revision)
            return True
        self.record.add("store answer", revision=self.revision)
        self._finish(conn, 200, {"events": events})
        return True

    def _on_lost(self, conn):
        self._lost.discard(conn)
        self._watches = [w for w in self._watches if w[0] is not conn]

    def close(self):
        if self._server is not None:
            self._server.close()


class Job:
    """One request at a server: waiting, running or ended."""

    def __init__(self, conn, request_id, target, deadline):
        self.conn = conn
        self.request_id = request_id
        self.target = target
        self.deadline = deadline
        self.timer = None
        self.is_ended = False
        self.runs = False


class Server:
    """A backend server with slots, a queue and a limit on its connections.

    `work_s` is its service time, a number or a function of the request's path. A
    request is dropped when its connection closes, and stopped at its deadline.
    `refuse(job)` may return headers to turn a request away with.
    """

    def __init__(self, site, service, zone, slots, queue, max_conns, work_s):
        self.site = site
        self.service = service
        self.zone = zone
        self.id = f"i-{service}-{random.getrandbits(32):08x}"
        self.work_s = work_s if callable(work_s) else lambda target: work_s
        self.refuse = lambda job: None
        self.extra_headers = ()
        self.received = []
        self.ran = []
        self.finished = []
        self.born = int(time.time() * 1000)
        self._slots = slots
        self._queue_size = queue
        self._max_conns = max_conns
        self._connections = set()
        self._waiting = deque()
        self._running = set()
        self._sequence = 0
        self._server = None
        self.address = ""

    async def start(self):
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, HOST, 0, backlog=512)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"

    def register(self, state="ready", warmup_left_ms=0):
        """Write this server's entry; return the time of the acknowledgement."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self._slots,
            "state": state,
            "warmup-left-ms": warmup_left_ms,
            "sequence": self._sequence,
            "born": self.born,
        }
        self.site.store.put(f"servers/{self.id}", entry)
        return self.site.record.now()

    def unregister(self):
        """Have this server's entry removed; return the time of the removal."""
        self.site.store.remove(f"servers/{self.id}")
        return self.site.record.now()

    def close(self):
        """End: close the port and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for conn in list(self._connections):
            conn.transport.abort()

    def _accept(self):
        conn = HttpProtocol(self._handle, self._on_lost)
        made = conn.connection_made

        def on_made(transport):
            made(transport)
            self._connections.add(conn)
            if len(self._connections) > self._max_conns:
                transport.abort()

        conn.connection_made = on_made
        return conn

    def _handle(self, conn, method, target, headers, body):
        now = self.site.record.now()
        request_id = headers.get("x-request-id", "")
        allowed_ms = float(headers.get("x-deadline-ms", "60000"))
        job = Job(conn, request_id, target, now + allowed_ms / 1000)
        conn.job = job
        if headers.get("x-expect-instance", self.id) != self.id:
            self._answer(job, 421, stamped=False)
            return
        self.received.append((request_id, now))
        self._note("received", request_id, method=method, target=target)
        refusal = self.refuse(job)
        if refusal is None and len(self._waiting) >= self._queue_size:
            refusal = ()
        if refusal is not None:
            self._answer(job, 503, stamped=False, extra=(*refusal,), not_run=True)
            return
        delay_s = max(0.0, job.deadline - now)
        job.timer = asyncio.get_running_loop().call_later(delay_s, self._expire, job)
        self._waiting.append(job)
        self._start_next()

    def _start_next(self):
        while self._waiting and len(self._running) < self._slots:
            job = self._waiting.popleft()
            if job.is_ended:
                continue
            job.runs = True
            self._running.add(job)
            self.ran.append((job.request_id, self.site.record.now()))
            self._note("run", job.request_id)
            asyncio.get_running_loop().call_later(
                self.work_s(job.target), self._finish, job
            )

    def _finish(self, job):
        if job.is_ended:
            return
        self.finished.append((job.request_id, self.site.record.now()))
        self._answer(job, 200, stamped=True, body=self.make_body(job))

    def make_body(self, job):
        """Return the body of an answer."""
        return b"done by " + self.id.encode()

    def _expire(self, job):
        if not job.is_ended:
            self._answer(job, 504 if job.runs else 503, job.runs, not_run=not job.runs)

    def _note(self, event, request_id, **fields):
        if self.site.records_servers:
            self.site.record.add(event, server=self.id, id=request_id, **fields)

    def _answer(self, job, status, stamped, extra=(), body=b"", not_run=False):
        headers = [("X-Request-Id", job.request_id), *self.extra_headers, *extra]
        if stamped:
            headers.append(("X-Server-Stamp", f"{self.id}.{job.request_id}"))
        if not_run:
            headers.append(("X-Not-Executed", "1"))
        self._note("server answered", job.request_id, status=status)
        self._end(job)
        job.conn.job = None
        job.conn.answer(status, headers, body)

    def _end(self, job):
        job.is_ended = True
        if job.timer is not None:
            job.timer.cancel()
        self._running.discard(job)
        self._start_next()

    def _on_lost(self, conn):
        self._connections.discard(conn)
        if conn.job is not None and not conn.job.is_ended:
            self._note("dropped", conn.job.request_id)
            self._end(conn.job)


class Gateway:
    """One gateway process."""

    def __init__(self, site, number, zone, ip, base_port):
        self.site = site
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        self.ip = ip
        self.front = (ip, base_port)
        self.ready = (ip, base_port + 1)
        self.control = (ip, base_port + 2)
        self.ports = (base_port + 3, base_port + 9)
        self.path = site.folder / f"{self.name}.yaml"
        self.process = None

    def write_settings(self, seeds):
        """Write the settings file; JSON is valid YAML."""
        addresses = {"front": self.front, "ready": self.ready, "control": self.control}
        settings = {
            "node-name": self.name,
            "role": "gateway",
            "machine-class": "front",
            "serves": ["front", "control"],
            "ip": self.ip,
            "zone": self.zone,
            "region": ZONES[self.zone],
            "zones": ZONES,
            "listen": {name: f"{a[0]}:{a[1]}" for name, a in addresses.items()},
            "port-range": list(self.ports),
            "seeds": seeds,
            "bootstrap": True,
            "limits": {"cpu-share": 0.537, "cores": 2, "memory-mb": 300},
            "data-dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat-ms": 1200,
            "fault-tolerance": {"machines": 2, "zones": 1, "regions": 1},
            "bounds": BOUNDS,
            "platform": {"address": self.site.store.address, "form": "read"},
        }
        self.path.write_text(json.dumps(settings))

    def start(self):
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["CURRANTWHARF_NODE_FILE"] = str(self.path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.site.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "-m", "currantwharf", "gateway"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.site.record.add("gateway started", gateway=self.name)

    def send(self, signal_number):
        self.site.record.add("signal", gateway=self.name, signal=int(signal_number))
        self.process.send_signal(signal_number)

    async def is_ready(self):
        answer = await fetch(self.ready, "GET", "/currantwharf/ready", {}, 1.0)
        return answer.status == 200

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Answer:
    """What a client got: a status, or why there is none."""

    def __init__(self, status=0, headers=None, body=b"", end=""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.end = end


async def fetch(address, method, target, headers, wait_s, body=b"", host=HTTP_HOST):
    """Send one request on a new connection; close it after `wait_s` at the latest."""
    try:
        return await asyncio.wait_for(
            _exchange(address, method, target, headers, body, host), wait_s
        )
    except TimeoutError:
        return Answer(end="client left")
    except (OSError, asyncio.IncompleteReadError) as exc:
        return Answer(end=type(exc).__name__)


async def _exchange(address, method, target, headers, body, host):
    reader, writer = await asyncio.open_connection(*address)
    try:
        lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *rest = head.rstrip("\r\n").split("\r\n")
        pairs = (line.partition(":") for line in rest)
        found = {name.strip().lower(): value.strip() for name, _, value in pairs}
        size = int(found.get("content-length", "0"))
        content = await reader.readexactly(size)
        return Answer(int(first.split(" ")[1]), found, content)
    finally:
        writer.close()


class Site:
    """A store, servers and gateways of one case."""

    def __init__(self, folder):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(folder)
        self.store = Store(self.record)
        self.servers = []
        self.gateways = []
        self.records_servers = True
        self.version = 6
        self._ids = itertools.count(1)
        self._run_id = f"{random.getrandbits(32):08x}"

    async def start(self, zones_of_gateways):
        """Start the store, and make a gateway for each of the zones given."""
        await self.store.start()
        network = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
        base_port = _find_free_ports(network, len(zones_of_gateways))
        for number, zone in enumerate(zones_of_gateways, 1):
            ip = f"{network}.{number}"
            self.gateways.append(Gateway(self, number, zone, ip, base_port))
        seeds = [f"{g.control[0]}:{g.control[1]}" for g in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.write_settings(seeds)

    async def add_server(
        self, service, zone, slots, queue, max_conns, work_s, kind=Server
    ):
        """Start a server; it isn't registered yet."""
        server = kind(self, service, zone, slots, queue, max_conns, work_s)
        await server.start()
        self.servers.append(server)
        return server

    def write_config(self, routes, services):
        """Write the next configuration; return the time of its acknowledgement."""
        self.version += 1
        document = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 262144,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
        }
        self.store.put("op/config", document)
        return self.record.now()

    async def start_gateways(self, settle_s=8.0):
        """Start all gateways, and wait until they serve and know each other."""
        for gateway in self.gateways:
            gateway.start()
        deadline = self.record.now() + 20.0
        for gateway in self.gateways:
            while not await gateway.is_ready():
                if self.record.now() > deadline or gateway.process.poll() is not None:
                    raise CaseError(f"{gateway.name} does not become ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(settle_s)

    async def send(self, gateway, method, target, deadline_ms, leave_s=None, body=b""):
        """Send a client's request; return its id and the answer."""
        request_id = f"{self._run_id}{next(self._ids):08x}"
        headers = {"X-Request-Id": request_id, "X-Deadline-Ms": str(deadline_ms)}
        fields = {"id": request_id, "gateway": gateway.name, "target": target}
        self.record.add("client sent", method=method, **fields)
        wait_s = deadline_ms / 1000 if leave_s is None else leave_s
        answer = await fetch(gateway.front, method, target, headers, wait_s, body)
        self.record.add(
            "client got", id=request_id, status=answer.status, end=answer.end
        )
        return request_id, answer

    def close(self):
        for gateway in self.gateways:
            gateway.kill()
        for server in self.servers:
            server.close()
        self.store.close()
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs of the gateways: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def _find_free_ports(network, count):
    """Return the first of ten ports in a row that are free at all addresses."""
    for _ in range(100):
        base = random.randrange(20_000, 30_000, 10)
        sockets = []
        try:
            for number in range(1, count + 1):
                for port in range(base, base + 10):
                    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                    sockets.append(sock)
                    sock.bind((f"{network}.{number}", port))
            return base
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
    raise CaseError("no free ports")


def has_trouble():
    """Return whether this run has the disruption of its case."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder, play):
    """Run `play(site)`, which returns whether the rule held; return the exit code."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    return asyncio.run(_run_case(folder, play))


async def _run_case(folder, play):
    site = Site(folder)
    try:
        held = await asyncio.wait_for(play(site), 110)
        site.record.say("the rule held" if held else "THE RULE WAS BROKEN")
        return HELD if held else BROKEN
    except (CaseError, OSError, TimeoutError) as exc:
        site.record.say(f"the case could not run: {exc!r}")
        return NOT_RUN
    finally:
        site.close()
