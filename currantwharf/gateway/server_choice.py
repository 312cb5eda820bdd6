"""Choose the backend server of the next send, and say whether one more is allowed."""

import random
from collections.abc import Callable, Collection, Mapping

from currantwharf.gateway.attempt_result import AttemptResult
from currantwharf.gateway.backend_answer import BackendAnswer, Verdict
from currantwharf.gateway.cold_limit import ColdLimit
from currantwharf.gateway.crash_watch import CrashWatch
from currantwharf.gateway.gateway_limits import GatewayLimits
from currantwharf.gateway.ineligible import Ineligible
from currantwharf.gateway.repeat_refusal import RepeatRefusal
from currantwharf.gateway.route import Route
from currantwharf.gateway.server_directory import ServerDirectory
from currantwharf.gateway.server_entry import ServerEntry
from currantwharf.gateway.server_evidence import ServerEvidence
from currantwharf.gateway.service_evidence import ServiceEvidence
from currantwharf.http1 import ConnectionFailure
from currantwharf.policy.extra_budget import ExtraBudget

NEAR_S = 0.002  # seconds of a round trip inside a region, until one is measured
FAR_S = 0.042  # seconds of a round trip between regions, until one is measured
SILENCE_S = 0.15  # seconds that a server which has fallen silent is expected to stay so
FAILED_S = 0.2  # seconds that a failure costs a request which may be sent again
FAILED_ORDER_S = 2.0  # seconds that one costs a request which may not
EJECTED_S = 10.0  # seconds; ranks an ejected server behind any other
COLD_FACTOR = 1.6  # times the usual work that a cold server takes
ELSEWHERE_FACTOR = 2.0  # times the usual work that a hedge elsewhere may take
PATIENCE = 1.3  # times the expected latency before a server may be hedged at all
JITTER = 0.1  # share by which equal servers are ranked apart
BUDGET_SHARE = 0.85  # of the retry budget; the rest covers windows that differ


class ServerChooser:
    """Hold the evidence and answer which server gets a request.

    `region` is this instance's, `regions` maps data centres to regions. `share` is
    the part of the fleet's budgets that this instance may spend. `has_connection`
    tells whether a request to a server would find a connection. `instance` is this
    instance's name.
    """

    def __init__(
        self,
        directory: ServerDirectory,
        limits: GatewayLimits,
        region: str,
        regions: Mapping[str, str],
        rng: random.Random,
        instance: str = "",
    ) -> None:
        self.directory = directory
        self.cold_limit = ColdLimit(instance)
        self.excluded_data_centres: set[str] = set()
        self.crash_watch = CrashWatch()
        self.has_connection: Callable[[str], bool] = lambda server: True
        self._limits = limits
        self._region = region
        self._regions = regions
        self._rng = rng
        self._share = 1.0 / limits.assumed_fleet_size
        self._evidence: dict[str, ServerEvidence] = {}
        self._services: dict[str, ServiceEvidence] = {}
        self._budgets: dict[str, ExtraBudget] = {}
        self._round_trips: dict[str, float] = {}
        self._misdirected: set[str] = set()

    def set_limits(self, limits: GatewayLimits) -> None:
        """Set the fleet's budgets; what was spent of them stays spent."""
        self._limits = limits
        share, allowance, window_s = self._budget_limits()
        for budget in self._budgets.values():
            budget.share, budget.allowance = share, allowance
            budget.window_s = window_s

    def set_share(self, share: float) -> None:
        """Set the part of the fleet's budgets that this instance may spend."""
        self._share = self.cold_limit.share = share
        allowance = self._allowance()
        for budget in self._budgets.values():
            budget.allowance = allowance

    def why_not(
        self, entry: ServerEntry, route: Route, tried: Collection[str], now: float
    ) -> Ineligible | None:
        """Return what keeps a server from a request of `route`, or None."""
        if entry.leaving:
            return Ineligible.LEAVING
        if entry.server in tried:
            return Ineligible.TRIED
        if entry.server in self._misdirected:
            return Ineligible.ADDRESS_REUSED
        if entry.data_centre in self.excluded_data_centres:
            return Ineligible.DATA_CENTRE_OUT
        if route.regions and self._regions.get(entry.data_centre) not in route.regions:
            return Ineligible.REGION_NOT_ALLOWED
        if self._is_cold(entry, now) and not self.cold_limit.may_send(entry, now):
            return Ineligible.COLD
        return None

    def choose(
        self, service: str, route: Route, tried: Collection[str], now: float
    ) -> ServerEntry | None:
        """Return the server with the least expected latency, or None."""
        best: ServerEntry | None = None
        best_cost = float("inf")
        for entry in self.directory.servers_of(service).values():
            if self.why_not(entry, route, tried, now) is not None:
                continue
            cost = self._cost(entry, route, now)
            if cost < best_cost:
                best, best_cost = entry, cost
        return best

    def expected_s(self, entry: ServerEntry, now: float) -> float:
        """Return the latency that is expected of a server, in seconds."""
        return self.evidence(entry).expected_s(now)

    def latency_s(self, entry: ServerEntry, now: float) -> float:
        """Return the expected latency, with a new connection if there is none free."""
        latency_s = self.expected_s(entry, now)
        if not self.has_connection(entry.server):
            latency_s += self._round_trip_s(entry)
        return latency_s

    def to_prepare(
        self, service: str, route: Route, tried: Collection[str], now: float
    ) -> ServerEntry | None:
        """Return the server that a hedge would have to connect to first, or None.

        A service that is asked rarely has none: its connections would end unused.
        """
        if not self._service(service).is_busy:
            return None
        other = self.choose(service, route, tried, now)
        if other is None or self.has_connection(other.server):
            return None
        return other

    def slow_after_s(self, entry: ServerEntry) -> float:
        """Return the latency from which a server's answer is unusually late."""
        evidence = self.evidence(entry)
        usual = self._service(entry.service).slow_after_s()
        return min(evidence.slow_after_s(), self._round_trip_s(entry) + usual)

    def hedge_time(self, entry: ServerEntry, target_at: float, now: float) -> float:
        """Return when an attempt is late, or is to be hedged to meet the target.

        The last moment at which another server can still answer in time comes first
        if it is after the time that the attempt is expected to take.
        """
        late_at = now + self.slow_after_s(entry)
        last_chance = target_at - self.elsewhere_s(entry.service)
        expected_at = now + PATIENCE * self.expected_s(entry, now)
        return min(late_at, max(last_chance, expected_at))

    def elsewhere_s(self, service: str) -> float:
        """Return the time that a far server of a service takes, with a margin."""
        round_trip_s = max(self._round_trips.values(), default=FAR_S)
        return round_trip_s + ELSEWHERE_FACTOR * self._service(service).work_s

    def begin(self, service: str, now: float) -> None:
        """Count a request for a service, on which its budget of repeats rests."""
        self._service(service).on_request(now)
        self._budget(service).add_sends(1, now)

    def why_not_repeat(
        self, service: str, fingerprint: str, now: float
    ) -> RepeatRefusal | None:
        """Take one repeat from the budget of a service, or return why it may not be."""
        if self.crash_watch.is_held(fingerprint, now):
            return RepeatRefusal.CRASHES_SERVERS
        return (
            None if self._budget(service).try_spend(now) else RepeatRefusal.BUDGET_SPENT
        )

    def on_send(self, entry: ServerEntry, attempt: int, now: float) -> None:
        """Note a request that goes to a server."""
        self.evidence(entry).on_send(attempt, now)
        if self._is_cold(entry, now):
            self.cold_limit.on_send(entry, now)

    def on_withdrawn(self, entry: ServerEntry, attempt: int) -> None:
        """Note that a request was withdrawn from a server."""
        self.evidence(entry).on_end(attempt)

    def on_unreachable(self, server: str, now: float) -> None:
        """Note that a server accepted no connection."""
        self.crash_watch.on_unreachable(server, now)

    def on_connected(self, data_centre: str, took_s: float) -> None:
        """Note how long a connection to a data centre took to come about."""
        known = self._round_trips.get(data_centre, took_s)
        self._round_trips[data_centre] = min(known, took_s)

    def on_result(
        self, result: AttemptResult, entry: ServerEntry, attempt: int, now: float
    ) -> None:
        """Learn from the result of an attempt."""
        if isinstance(result, BackendAnswer):
            self._on_answer(result, entry, attempt, now)
        elif result is ConnectionFailure.NOT_SENT:
            self.evidence(entry).on_end(attempt)
        else:
            self.evidence(entry).on_failure(attempt, now)

    def _on_answer(
        self, result: BackendAnswer, entry: ServerEntry, attempt: int, now: float
    ) -> None:
        evidence = self.evidence(entry)
        if result.warm_up_s:
            evidence.cold_until = now + result.warm_up_s
        if result.verdict is Verdict.ANSWERED:
            latency_s = evidence.on_answer(attempt, now)
            if latency_s is not None:
                work_s = max(0.0, latency_s - self._round_trip_s(entry))
                self._service(entry.service).learn(work_s)
            return
        if result.verdict is Verdict.MISDIRECTED:
            self._misdirected.add(entry.server)
        evidence.on_failure(attempt, now)

    def on_registration(self, entry: ServerEntry, now: float) -> None:
        """Note a registration that is news."""
        self._misdirected.discard(entry.server)
        if entry.warm_up_s > 0:
            self.evidence(entry).cold_until = now + entry.warm_up_s

    def forget(self, server: str) -> None:
        """Drop the evidence of a server that is gone."""
        self._evidence.pop(server, None)
        self.cold_limit.forget(server)
        self._misdirected.discard(server)

    def evidence(self, entry: ServerEntry) -> ServerEvidence:
        """Return the evidence of a server, new if it was not seen yet."""
        evidence = self._evidence.get(entry.server)
        if evidence is None:
            usual = self._service(entry.service).work_s
            evidence = ServerEvidence(self._round_trip_s(entry) + usual)
            self._evidence[entry.server] = evidence
        return evidence

    def _cost(self, entry: ServerEntry, route: Route, now: float) -> float:
        evidence = self.evidence(entry)
        round_trip_s = self._round_trip_s(entry)
        cost = evidence.expected_s(now)
        work_s = max(cost - round_trip_s, cost / 4)
        if not self.has_connection(entry.server):
            cost += round_trip_s
        cost += work_s * len(evidence.under_way) / max(1, entry.slots)
        loss_s = FAILED_S if route.idempotent else FAILED_ORDER_S
        cost += loss_s * evidence.failed_share(now)
        if evidence.is_silent(now):
            cost += SILENCE_S
        if now < evidence.cold_until:
            cost += work_s * (COLD_FACTOR - 1)
        if now < evidence.ejected_until:
            cost += EJECTED_S
        return cost * (1 + JITTER * self._rng.random())

    def _is_cold(self, entry: ServerEntry, now: float) -> bool:
        evidence = self._evidence.get(entry.server)
        return evidence is not None and now < evidence.cold_until

    def _round_trip_s(self, entry: ServerEntry) -> float:
        measured = self._round_trips.get(entry.data_centre)
        if measured is not None:
            return measured
        near = self._regions.get(entry.data_centre) == self._region
        return NEAR_S if near else FAR_S

    def _service(self, service: str) -> ServiceEvidence:
        return self._services.setdefault(service, ServiceEvidence())

    def _budget(self, service: str) -> ExtraBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = ExtraBudget(*self._budget_limits())
            self._budgets[service] = budget
        return budget

    def _budget_limits(self) -> tuple[float, float, float]:
        share = self._limits.repeat_ratio * BUDGET_SHARE
        return share, self._allowance(), self._limits.repeat_window_s

    def _allowance(self) -> float:
        return self._limits.repeat_slack * BUDGET_SHARE * self._share
