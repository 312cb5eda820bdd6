"""The rules that answers and executions must keep in a soak test."""

from collections import Counter

from currantwharf.gateway.merge_records import merge_records
from currantwharf.standin.shard_server import build_answer_body

# Servers of a shard that may run one lookup; the route declares the same limit.
MAX_SERVERS_PER_SHARD = 2
# Lookups that may exceed that limit, for example when servers were lost.
MAX_LOOKUPS_OVER_LIMIT = 3
NOT_RUN_STATUSES = (b"429", b"503", b"408", b"421")  # these promise that nothing ran


class SoakOracle:
    """Collects violations from the answers to callers and the runs of servers."""

    def __init__(self, site):
        self.site = site
        self.violations = []
        self.outcomes = Counter()
        self.orders = {}

    def on_lookup(self, request_id, answer):
        """Check the answer to a lookup; None if the connection ended without one."""
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
                self.violations.append(
                    f"{request_id}: part of another request: {signature}"
                )
                return
            services.append(self.site.get_service(server))
            bodies.append(build_answer_body(server, request_id))
        if len(set(services)) != len(services):
            self.violations.append(f"{request_id}: two parts from one shard")
        if len(services) + missing != self.site.shards:
            self.violations.append(
                f"{request_id}: answered and missing parts do not add up"
            )
        if len(services) < 0.5 * self.site.shards:
            self.violations.append(f"{request_id}: too low coverage")
        if answer.body != merge_records(bodies, 10):
            self.violations.append(
                f"{request_id}: the body is not the merge of the parts"
            )

    def on_order(self, request_id, answer):
        """Check the answer to an order; None if the connection ended without one."""
        status = answer.status if answer else None
        self.outcomes[f"order {status}"] += 1
        self.orders[request_id] = status
        signature = (answer.get(b"x-server-stamp") or b"").decode() if answer else ""
        if status == 200:
            server, _, own_id = signature.rpartition(".")
            if own_id != request_id or answer.body != build_answer_body(
                server, request_id
            ):
                self.violations.append(f"{request_id}: answer to another request")

    def on_end(self):
        """Compare what the servers ran with the answers to callers."""
        runs = Counter()
        for server in self.site.servers.values():
            runs.update(r for r in server.runs if r in self.orders)
        for request_id, count in runs.items():
            if count > 1:
                self.violations.append(f"{request_id}: ran {count} times")
            if str(self.orders[request_id]).encode() in NOT_RUN_STATUSES:
                self.violations.append(
                    f"{request_id}: ran, but was reported as not run"
                )
        self._check_attempts()
        sent_ids = {*self.orders, *self.site.lookups}
        for name, server in self.site.servers.items():
            unknown_ids = set(server.runs) - sent_ids - {""}
            if unknown_ids:
                self.violations.append(
                    f"{name}: ran unknown requests {sorted(unknown_ids)[:3]}"
                )

    def _check_attempts(self):
        """Check that lookups ran on no more servers of a shard than allowed."""
        server_counts = Counter()
        for name, server in self.site.servers.items():
            for request_id in set(server.runs) & self.site.lookups:
                server_counts[request_id, self.site.get_service(name)] += 1
        over_limit = {
            request_id
            for (request_id, _), count in server_counts.items()
            if count > MAX_SERVERS_PER_SHARD
        }
        if len(over_limit) > MAX_LOOKUPS_OVER_LIMIT:
            self.violations.append(
                f"{len(over_limit)} lookups ran on too many servers: {over_limit}"
            )
