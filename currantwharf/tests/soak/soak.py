"""A soak test: real gateway processes, injected faults, and checks meanwhile."""

import random
import signal
import tempfile
from collections import Counter
from pathlib import Path

from twisted.internet import reactor

from currantwharf.http1 import (
    ConnectionFailure,
    ConnectionPool,
    Exchange,
    HttpResponse,
    encode_request,
)
from currantwharf.runtime.clock import SystemClock
from currantwharf.standin.platform_site import ORDERS_SERVICE, PlatformSite
from currantwharf.tests.loopback import WaitTimeoutError, run_for, run_until
from currantwharf.tests.soak.fault_proxy import CALM, FAULTS, FaultProxy
from currantwharf.tests.soak.gateway_process import GatewayProcess
from currantwharf.tests.soak.soak_oracle import SoakOracle

DEFAULT_GATEWAYS = 3  # default number of gateway processes
MIN_GATEWAYS_WITH_HUBS = 14  # so many that each of the two data centres has a hub
CALLERS = 12  # each has a connection of its own
PAUSE_S = 0.05  # between the answer to a caller and its next request
RECOVERY_S = 12.0  # time allowed after the last fault until requests are served
MIN_SERVED_RATIO = 0.95  # of the requests after the recovery
DRAIN_S = 4.0  # a server that left longer ago must receive no request
COPY_RATIO = 0.3  # of the faults after which a copy of the store is taken
CRASH_ROUNDS = 4  # in which a lookup that crashes its servers is sent
CRASH_INTERVAL_S = 1.5
MAX_REWRITE_S = 2.0  # after a restore, until what it lost is written again
CONFIG_APPLY_S = 4.0  # after which a new configuration is in force at each gateway
RESTART_CHECK_S = 3.0  # a restarted gateway serves for most of this time


class Soak:
    """The site, the gateway processes and the faults of one seed."""

    def __init__(self, seed, first_port, folder, gateways=DEFAULT_GATEWAYS):
        reactor.seconds = SystemClock().now
        self.rng = random.Random(seed)
        self.proxies = []
        # Only with a third server can a lookup exceed the limit of two servers.
        replicas = 3 if gateways >= MIN_GATEWAYS_WITH_HUBS else 2
        self.site = PlatformSite(reactor, replicas=replicas, proxied=self.add_proxy)
        self.site.start()
        self.store_copy = self.site.store.take_copy()
        self.oracle = SoakOracle(self.site)
        self.first_port = first_port
        self.events = []
        self.sent = 0
        self.left_at_by_server = {}
        self.is_ending = False
        self.gateways = []
        # Different seeds use different addresses and can run at the same time.
        network = f"127.0.{1 + seed % 250}"
        for number in range(1, gateways + 1):
            settings = self.site.write_settings(folder, number, first_port, network)
            host = f"{network}.{number + 1}"
            self.gateways.append(GatewayProcess(settings, host))
        self.callers = [Caller(self, number) for number in range(CALLERS)]

    def add_proxy(self, address):
        proxy = FaultProxy(reactor, int(address.rpartition(":")[2]))
        self.proxies.append(proxy)
        return proxy.address

    def run(self, seconds):
        """Inject faults for `seconds`, then remove them and check the recovery."""
        self.wait_until_served()
        for caller in self.callers:
            caller.send_next()
        end = reactor.seconds() + seconds
        while reactor.seconds() < end:
            self.inject_fault()
            run_for(self.rng.uniform(0.1, 1.2))
            self.restart_exited()
            if self.rng.random() < COPY_RATIO:
                self.store_copy = self.site.store.take_copy()
        self.check_leaving()
        self.remove_faults()
        run_for(RECOVERY_S)
        self.check_recovery()
        self.check_leaving_in_calm()
        self.check_configuration()
        self.check_crashing_request()
        self.is_ending = True
        run_for(1.5)
        self.oracle.on_end()

    def close(self):
        """Stop all processes and connections that the soak started."""
        self.is_ending = True
        for gateway in self.gateways:
            gateway.kill_and_wait()
        for proxy in self.proxies:
            proxy.reset()
            proxy.port.stopListening()
        self.site.stop()
        run_for(0.1)

    def wait_until_served(self):
        answers = []

        def send_lookup():
            caller = Caller(self, 0)
            caller.send_request("lookup", lambda answer: answers.append(answer))

        def is_served():
            if not answers or answers[-1] is None or answers[-1].status != 200:
                if len(answers) == send_lookup.count:
                    send_lookup.count += 1
                    send_lookup()
                return False
            return True

        send_lookup.count = 0
        run_until(is_served, 20.0)

    def inject_fault(self):
        """Inject a random fault, or remove one."""
        now = reactor.seconds()
        gateway = self.rng.choice(self.gateways)
        proxy = self.rng.choice(self.proxies)
        server = self.rng.choice(list(self.site.servers))
        faults = self.site.servers[server].faults
        kind = self.rng.choice(FAULT_KINDS)
        self.events.append((round(now, 2), kind, gateway.host, server))
        if kind == "term":
            gateway.terminate(now)
        elif kind == "kill":
            gateway.send(signal.SIGKILL)
        elif kind == "pause":
            gateway.send(signal.SIGSTOP)
            pause_s = self.rng.uniform(0.3, 3.0)
            reactor.callLater(pause_s, gateway.send, signal.SIGCONT)
        elif kind == "hup":
            gateway.send(signal.SIGHUP)
        elif kind == "proxy":
            proxy.fault = self.rng.choice((CALM, *FAULTS))
        elif kind == "reset":
            proxy.reset()
        elif kind == "forget":
            proxy.drop_connections_silently()
        elif kind == "server":
            faults.slow = self.rng.choice((1.0, 1.0, 10.0))
            faults.failing = self.rng.random() < 0.2
            faults.shed = self.rng.random() < 0.2
            faults.silent = self.rng.random() < 0.1
            faults.limit_per_s = self.rng.choice((None, None, 2.0))
        elif kind == "store":
            self.site.store.fault = self.rng.choice((None, None, 503, 429, "silent"))
        elif kind == "history":
            self.site.store.forget_history()
        elif kind == "config":
            self.site.publish()
        elif kind == "restore":
            self.site.store.restore(self.store_copy)
            delay_s = self.rng.uniform(0.0, MAX_REWRITE_S)
            reactor.callLater(delay_s, self.site.write_again)
        elif (
            kind == "leave"
            and server.startswith(f"i-{ORDERS_SERVICE}")
            and not self.left_at_by_server
        ):
            self.site.register(server, state="draining")
            self.left_at_by_server[server] = now
        if kind in (
            "proxy",
            "store",
            "restore",
            "reset",
            "forget",
            "kill",
            "pause",
            "term",
        ):
            # A fault may delay the registry change, so these servers are not checked.
            self.left_at_by_server = dict.fromkeys(self.left_at_by_server)

    def restart_exited(self):
        for gateway in self.gateways:
            if not gateway.is_running():
                gateway.start()

    def remove_faults(self):
        """Remove all faults and let all processes run."""
        self.site.store.fault = None
        for proxy in self.proxies:
            proxy.fault = CALM
            proxy.reset()
        for name, server in self.site.servers.items():
            server.faults.__init__()
            self.site.register(name)
        self.left_at_by_server = {}
        for gateway in self.gateways:
            gateway.send(signal.SIGCONT)
        run_for(0.5)
        self.restart_exited()

    def check_recovery(self):
        """Check that at least `MIN_SERVED_RATIO` of the requests are served again."""
        before = Counter(self.oracle.outcomes)
        run_for(3.0)
        self.restart_exited()
        after = self.oracle.outcomes - before
        served = sum(n for name, n in after.items() if name.endswith(" 200"))
        if served < MIN_SERVED_RATIO * max(1, after.total()):
            self.oracle.violations.append(
                f"too few requests served after recovery: {dict(after)}"
            )

    def check_leaving_in_calm(self):
        """Let a server leave, restart a gateway, and check that neither uses it."""
        server = next(name for name in self.site.servers if ORDERS_SERVICE in name)
        self.site.register(server, state="draining")
        self.left_at_by_server = {server: reactor.seconds()}
        run_for(DRAIN_S)
        self.site.store.remove(f"servers/{server}")
        self.rng.choice(self.gateways).kill_and_wait()
        self.restart_exited()
        run_for(RESTART_CHECK_S)
        self.check_leaving()

    def check_configuration(self):
        """Publish a route and check that every gateway serves it in time."""
        self.site.publish_route("/added/")
        run_for(CONFIG_APPLY_S)
        answers = {}
        for gateway in self.gateways:
            caller = Caller(self, 0)
            caller.connect(gateway)
            caller.send_request(
                "lookup",
                lambda answer, host=gateway.host: answers.update({host: answer}),
                prefix="/added/",
            )
        run_for(2.0)
        for gateway in self.gateways:
            answer = answers.get(gateway.host)
            if answer is None or answer.status != 200:
                status = answer and answer.status
                self.oracle.violations.append(
                    f"{gateway.host}: answered {status} on a new route"
                )

    def check_crashing_request(self):
        """Check that a lookup which crashes its servers reaches no more in the end."""
        for server in self.site.servers.values():
            server.faults.crashed_by = b"/lookup/crash"
        for round_number in range(CRASH_ROUNDS):
            if round_number == CRASH_ROUNDS - 1:
                before = self.count_runs_of_crashing_requests()
            for gateway in self.gateways:
                caller = Caller(self, 0)
                caller.connect(gateway)
                caller.send_request("lookup", lambda answer: None, path="/lookup/crash")
            run_for(CRASH_INTERVAL_S)
        more = self.count_runs_of_crashing_requests() - before
        if more:
            self.oracle.violations.append(
                f"a lookup that had crashed servers reached {more} more"
            )

    def count_runs_of_crashing_requests(self):
        return sum(server.crash_count for server in self.site.servers.values())

    def check_leaving(self):
        """Check that no server that left without faults received requests later."""
        for name in list_late_servers(self.left_at_by_server, self.site.servers):
            self.oracle.violations.append(f"{name}: received requests after it left")


def list_late_servers(left_at_by_server, servers):
    """Return the servers that were sent requests `DRAIN_S` after they had left."""
    return [
        name
        for name, left_at in left_at_by_server.items()
        if left_at is not None
        and any(at > left_at + DRAIN_S for at in servers[name].received_times)
    ]


FAULT_KINDS = (
    "term",
    "kill",
    "pause",
    "hup",
    "proxy",
    "proxy",
    "reset",
    "forget",
    "server",
    "server",
    "store",
    "history",
    "config",
    "leave",
    "restore",
)


class Caller:
    """A caller that keeps its connection until the gateway closes it."""

    def __init__(self, soak, number):
        self.soak = soak
        self.number = number
        self.pool = None

    def send_next(self):
        """Send a request; the next one follows after its answer."""
        if self.soak.is_ending:
            return
        kind = "order" if self.soak.rng.random() < 0.3 else "lookup"
        self.send_request(kind, self.send_next_after_pause)

    def send_next_after_pause(self, answer):
        if answer is None or answer.get(b"connection") == b"close":
            self.pool = None
        reactor.callLater(PAUSE_S, self.send_next)

    def connect(self, gateway):
        address = (gateway.host, self.soak.first_port)
        self.pool = ConnectionPool(reactor, reactor.seconds, address, 1)

    def send_request(self, kind, on_answer, prefix=None, path=None):
        soak = self.soak
        soak.sent += 1
        request_id = f"{kind}-{soak.sent}"
        if kind == "lookup":
            soak.site.lookups.add(request_id)
        else:
            soak.oracle.orders[request_id] = None
        data = encode_request(
            b"GET" if kind == "lookup" else b"POST",
            (path or f"{prefix or f'/{kind}/'}{request_id}").encode(),
            (
                (b"host", b"search.example"),
                (b"x-request-id", request_id.encode()),
                (b"x-deadline-ms", b"1000"),
            ),
            b"" if kind == "lookup" else b"one",
        )

        def done(result: HttpResponse | ConnectionFailure):
            answer = result if isinstance(result, HttpResponse) else None
            check = soak.oracle.on_lookup if kind == "lookup" else soak.oracle.on_order
            check(request_id, answer)
            timer.active() and timer.cancel()
            on_answer(answer)

        if self.pool is None:
            self.connect(soak.rng.choice(soak.gateways))
        exchange = Exchange(
            lambda now: data, lambda answer: True, reactor.seconds() + 3, False, done
        )
        pool = self.pool
        timer = reactor.callLater(
            3.0, lambda: pool.cancel(exchange, ConnectionFailure.TIMED_OUT)
        )
        pool.send(exchange)


def run_soak(seed, seconds, first_port, failure_folder=None, gateways=DEFAULT_GATEWAYS):
    """Run one seed and return its violations, outcomes and events.

    If there are violations, the logs and the events are kept in `failure_folder`.
    """
    folder = tempfile.TemporaryDirectory()
    soak = Soak(seed, first_port, Path(folder.name), gateways)
    try:
        soak.run(seconds)
    except WaitTimeoutError:
        soak.oracle.violations.append("the gateways did not serve a lookup in time")
    finally:
        soak.close()
        if soak.oracle.violations and failure_folder is not None:
            failure_folder.mkdir(parents=True, exist_ok=True)
            for gateway in soak.gateways:
                target = failure_folder / f"seed-{seed}-{gateway.host}.log"
                target.write_bytes(gateway.log_path.read_bytes())
            events = "\n".join(map(str, soak.events))
            (failure_folder / f"seed-{seed}.events").write_text(events)
        folder.cleanup()
    return soak.oracle.violations, soak.oracle.outcomes, soak.events
