"""What callers and servers must never see."""

from collections import Counter

from currantwharf.gateway.merge_records import merge_records
from currantwharf.standin.shard_server import build_answer_body

MOST_SERVERS = 2  # of a shard that may run one lookup, as the route declares
MOST_OVERRUN = 3  # lookups that may run on more, as on servers that were lost
PROMISES = (b"429", b"503", b"408", b"421")  # statuses that say not run


class SoakOracle:
    """Collect violations of the promises, from both ends."""

    def __init__(self, site):
        self.site = site
        self.violations = []
        self.outcomes = Counter()
        self.orders = {}

    def on_lookup(self, request_id, answer):
        """Check an answer of a lookup; None for a connection that ended."""
        status = answer.status if answer else None
        self.outcomes[f"lookup {status}"] += 1
        if status != 200:
            return
        signatures = (answer.get(b"x-part-stamps") or b"").decode().split(", ")
        missing = int(answer.get(b"x-missing-parts") or 0)
        services, bodies = [], []
        for signature in signatures:
            server, _, own_id = signature.rpartition(".")
            if own_id != request_id or server not in self.site.servers:
                self.violations.append(f"{request_id}: foreign part {signature}")
                return
            services.append(self.site.get_service(server))
            bodies.append(build_answer_body(server, request_id))
        if len(set(services)) != len(services):
            self.violations.append(f"{request_id}: a shard twice")
        if len(services) + missing != self.site.shards:
            self.violations.append(f"{request_id}: untrue coverage")
        if len(services) < 0.5 * self.site.shards:
            self.violations.append(f"{request_id}: too little coverage")
        if answer.body != merge_records(bodies, 10):
            self.violations.append(f"{request_id}: not the greatest records")

    def on_order(self, request_id, answer):
        """Check an answer of an order; None for a connection that ended."""
        status = answer.status if answer else None
        self.outcomes[f"order {status}"] += 1
        self.orders[request_id] = status
        signature = (answer.get(b"x-server-stamp") or b"").decode() if answer else ""
        if status == 200:
            server, _, own_id = signature.rpartition(".")
            if own_id != request_id or answer.body != build_answer_body(
                server, request_id
            ):
                self.violations.append(f"{request_id}: not its own answer")

    def on_end(self):
        """Check what the servers ran against what callers were told."""
        runs = Counter()
        for server in self.site.servers.values():
            runs.update(r for r in server.runs if r in self.orders)
        for request_id, count in runs.items():
            if count > 1:
                self.violations.append(f"{request_id}: ran {count} times")
            if str(self.orders[request_id]).encode() in PROMISES:
                self.violations.append(f"{request_id}: ran, though called not run")
        self._check_attempts()
        asked = {*self.orders, *self.site.lookups}
        for name, server in self.site.servers.items():
            unasked = set(server.runs) - asked - {""}
            if unasked:
                self.violations.append(f"{name}: ran unasked {sorted(unasked)[:3]}")

    def _check_attempts(self):
        """Check that lookups ran on no more servers of a shard than they may."""
        servers = Counter()
        for name, server in self.site.servers.items():
            for request_id in set(server.runs) & self.site.lookups:
                servers[request_id, self.site.get_service(name)] += 1
        over = {asked for (asked, _), count in servers.items() if count > MOST_SERVERS}
        if len(over) > MOST_OVERRUN:
            self.violations.append(f"{len(over)} lookups on too many servers: {over}")
