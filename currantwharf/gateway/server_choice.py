"""Choice of the backend server for each send, by what is known of all of them."""

import random
from collections.abc import Callable, Collection, Mapping

from currantwharf.gateway.attempt_result import AttemptResult
from currantwharf.gateway.backend_answer import BackendAnswer, Verdict
from currantwharf.gateway.connect_patience import (
    CONNECT_MARGIN_S,
    connect_check_time,
    is_server_late,
)
from currantwharf.gateway.crash_watch import CrashWatch
from currantwharf.gateway.evidence_sharing import EvidenceSharing
from currantwharf.gateway.gateway_limits import GatewayLimits
from currantwharf.gateway.ineligibility import Ineligibility
from currantwharf.gateway.repeat_budgets import RepeatBudgets
from currantwharf.gateway.route import Route
from currantwharf.gateway.server_directory import ServerDirectory
from currantwharf.gateway.server_eligibility import ServerEligibility
from currantwharf.gateway.server_entry import ServerEntry
from currantwharf.gateway.server_evidence import ServerEvidence
from currantwharf.gateway.server_report import ServerReport
from currantwharf.gateway.service_evidence import ServiceEvidence
from currantwharf.http1 import ConnectionFailure

DEFAULT_NEAR_ROUND_TRIP_S = 0.002  # inside a region, until one is measured
DEFAULT_FAR_ROUND_TRIP_S = 0.042  # between regions, until one is measured
SILENCE_PENALTY_S = 0.15  # how long a silent server is expected to stay silent
FAILURE_PENALTY_S = 0.2  # cost of a failure if the request may be sent again
NON_IDEMPOTENT_FAILURE_PENALTY_S = 2.0  # cost of a failure if it may not
# Time over which callers return that were refused while all servers turned them away.
RETURN_SPREAD_S = 0.25
LEAVING_PENALTY_S = 5.0  # ranks a leaving server behind others, but for ejected ones
EJECTION_PENALTY_S = 10.0  # ranks an ejected server behind any other
COLD_WORK_FACTOR = 1.6  # times the usual work, on a cold server
REMOTE_WORK_FACTOR = 2.0  # times the usual work, allowed for a hedge to a far server
# Times the expected latency of an attempt: its minimum age before it is hedged only
# because the target is near.
MIN_HEDGE_DELAY_FACTOR = 1.3
COST_JITTER_RATIO = 0.1  # largest random surcharge; spreads load over equal servers


class ServerChooser:
    """Ranks the eligible servers of a service by expected cost.

    `region` and `instance` are the region and the name of this instance; `regions`
    maps data centres to regions. `has_connection` returns whether a request to a
    server would find a connection. `eligibility` decides which servers may get a
    request, and `repeats` has the budgets of repeats.
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
        self.eligibility = ServerEligibility(
            directory, regions, instance, limits.drain_s, self._is_cold
        )
        self.repeats = RepeatBudgets(limits)
        self.crash_watch = CrashWatch()
        self.sharing = EvidenceSharing()
        self.has_connection: Callable[[str], bool] = lambda server: True
        self._region = region
        self._regions = regions
        self._rng = rng
        self._evidence_by_server: dict[str, ServerEvidence] = {}
        self._evidence_by_service: dict[str, ServiceEvidence] = {}
        self._round_trips_by_data_centre: dict[str, float] = {}

    def choose(
        self, service: str, route: Route, tried: Collection[str], now: float
    ) -> ServerEntry | None:
        """Return the eligible server with the lowest expected cost, or None."""
        best: ServerEntry | None = None
        best_cost = float("inf")
        find_ineligibility = self.eligibility.find_ineligibility
        for entry in self.directory.get_servers(service).values():
            if find_ineligibility(entry, route, tried, now) is not None:
                continue
            cost = self._expected_cost_s(entry, route, now)
            if cost < best_cost:
                best, best_cost = entry, cost
        return best

    def set_limits(self, limits: GatewayLimits) -> None:
        """Set the limits of the whole fleet."""
        self.repeats.set_limits(limits)
        self.eligibility.drain_s = limits.drain_s

    def find_return_delay_s(
        self, service: str, route: Route, now: float
    ) -> float | None:
        """Return after how many seconds a caller should return, or None if unknown.

        A random part keeps callers from returning together.
        """
        delay_s = self.eligibility.find_return_delay_s(service, route, now)
        if delay_s is None:
            return None
        return delay_s + self._rng.random() * max(RETURN_SPREAD_S, delay_s / 4)

    def expected_latency_s(self, entry: ServerEntry, now: float) -> float:
        """Return a server's expected latency over an open connection, in seconds."""
        return self.get_evidence(entry).expected_latency_s(now)

    def expected_latency_with_connect_s(self, entry: ServerEntry, now: float) -> float:
        """Return the expected latency, including a connect if no connection is free."""
        latency_s = self.expected_latency_s(entry, now)
        if not self.has_connection(entry.server):
            latency_s += self._round_trip_s(entry)
        return latency_s

    def choose_preconnect(
        self, service: str, route: Route, tried: Collection[str], now: float
    ) -> ServerEntry | None:
        """Return the server that a hedge would have to connect to first, or None.

        For a service with few requests the result is None, since the connection would
        be closed unused.
        """
        if not self._service_evidence(service).is_busy:
            return None
        entry = self.choose(service, route, tried, now)
        if entry is None or self.has_connection(entry.server):
            return None
        return entry

    def slow_threshold_s(self, entry: ServerEntry) -> float:
        """Return the latency above which a server's answer is unusually late."""
        evidence = self.get_evidence(entry)
        work_threshold_s = self._service_evidence(entry.service).slow_threshold_s()
        return min(
            evidence.slow_threshold_s(), self._round_trip_s(entry) + work_threshold_s
        )

    def compute_hedge_time(
        self, entry: ServerEntry, target_at: float, now: float
    ) -> float:
        """Return when to hedge an attempt, in seconds of the monotonic clock.

        An attempt is hedged once it is unusually late, or already at the last moment
        from which a far server can still meet the target, provided that the attempt
        has had `MIN_HEDGE_DELAY_FACTOR` times its expected latency by then. The time
        to open a connection is not the server's lateness.
        """
        connect_s = 0.0
        if not self.has_connection(entry.server):
            connect_s = self._round_trip_s(entry) + CONNECT_MARGIN_S
        late_at = now + connect_s + self.slow_threshold_s(entry)
        last_chance_at = target_at - self.remote_latency_s(entry.service)
        min_hedge_at = now + MIN_HEDGE_DELAY_FACTOR * self.expected_latency_s(
            entry, now
        )
        return min(late_at, max(last_chance_at, min_hedge_at))

    def compute_connect_check_time(
        self, entry: ServerEntry, route: Route, now: float
    ) -> float | None:
        """Return when an attempt should have found a connection, in seconds.

        None if one is free. A request that is not idempotent may need a new one even
        then.
        """
        if route.idempotent and self.has_connection(entry.server):
            return None
        return connect_check_time(self._round_trip_s(entry), now)

    def remote_latency_s(self, service: str) -> float:
        """Return the time that a far server of a service needs, with a margin."""
        round_trip_s = max(
            self._round_trips_by_data_centre.values(), default=DEFAULT_FAR_ROUND_TRIP_S
        )
        return (
            round_trip_s + REMOTE_WORK_FACTOR * self._service_evidence(service).work_s
        )

    def on_request(self, service: str, now: float) -> None:
        """Count a request for a service; its repeat budget is a ratio of these."""
        self._service_evidence(service).on_request(now)
        self.repeats.on_request(service, now)

    def on_send(
        self, entry: ServerEntry, attempt: int, now: float
    ) -> frozenset[Ineligibility]:
        """Record a request placed at a server; return the rates that counted it."""
        counted = self.eligibility.count_rates(entry, frozenset(), now)
        self.get_evidence(entry).on_send(attempt, now)
        return counted

    def on_written(
        self,
        entry: ServerEntry,
        attempt: int,
        counted: frozenset[Ineligibility],
        now: float,
    ) -> None:
        """Record that a request was written to a connection.

        Rates that are in force only since it was placed count it now.
        """
        self.get_evidence(entry).on_written(attempt, now)
        self.eligibility.count_rates(entry, counted, now)

    def on_overdue(self, entry: ServerEntry, due_at: float, now: float) -> None:
        """Tell other instances of a server whose answer was due at `due_at`."""
        if is_server_late(due_at, now) and self.get_evidence(entry).is_silent(now):
            self.sharing.report_silent(entry.server, now)

    def on_report(self, report: ServerReport, now: float) -> None:
        """Record what another instance has found of a server."""
        entry = self.directory.get(report.server)
        if entry is None:
            return
        evidence = self.get_evidence(entry)
        if report.work_ms is None:
            evidence.on_reported_silence(now)
        else:
            latency_s = self._round_trip_s(entry) + report.work_ms / 1000
            evidence.on_reported_latency(latency_s, now)

    def on_cancelled(self, entry: ServerEntry, attempt: int) -> None:
        """Record that a request to a server was cancelled."""
        self.get_evidence(entry).on_cancelled(attempt)

    def on_unreachable(self, server: str, now: float) -> None:
        """Record that no connection to a server could be opened."""
        self.crash_watch.on_unreachable(server, now)

    def on_connected(self, data_centre: str, took_s: float) -> None:
        """Record how long it took to connect to a server of a data centre."""
        shortest_s = self._round_trips_by_data_centre.get(data_centre, took_s)
        self._round_trips_by_data_centre[data_centre] = min(shortest_s, took_s)

    def on_result(
        self, result: AttemptResult, entry: ServerEntry, attempt: int, now: float
    ) -> None:
        """Update the server's evidence with the result of an attempt."""
        if isinstance(result, BackendAnswer):
            self._on_answer(result, entry, attempt, now)
        elif result is ConnectionFailure.NOT_SENT:
            self.get_evidence(entry).on_cancelled(attempt)
        else:
            self.get_evidence(entry).on_failure(attempt, now)

    def _on_answer(
        self, result: BackendAnswer, entry: ServerEntry, attempt: int, now: float
    ) -> None:
        evidence = self.get_evidence(entry)
        self._update_limit(result, entry, now)
        if _is_own_answer(result):
            if result.is_leaving:
                self.eligibility.leaving_servers.on_notice(entry, now)
            if result.wants_nothing_s:
                self.eligibility.turned_away.on_rejection(
                    entry, result.wants_nothing_s, now
                )
        if result.warm_up_s:
            evidence.cold_until = now + result.warm_up_s
        if result.verdict is Verdict.ANSWERED:
            latency_s = evidence.on_answer(attempt, now)
            if latency_s is not None:
                work_s = max(0.0, latency_s - self._round_trip_s(entry))
                service = self._service_evidence(entry.service)
                is_slow = work_s > service.slow_threshold_s()
                if evidence.is_slowness_sustained(is_slow, now):
                    self.sharing.report_slow(entry.server, work_s, now)
                service.record_work(work_s)
            return
        if result.verdict is Verdict.MISDIRECTED:
            self.eligibility.on_misdirected(entry.server)
        evidence.on_failure(attempt, now)

    def _update_limit(
        self, answer: BackendAnswer, entry: ServerEntry, now: float
    ) -> None:
        """Record the limit that an answer names, or that it names none any more.

        Only an answer of the server's own shows that a limit has ended.
        """
        if not _is_own_answer(answer):
            return
        if answer.limit_per_s is not None or answer.verdict is Verdict.ANSWERED:
            self.eligibility.server_limits.set_limit(
                entry.server, answer.limit_per_s, now
            )

    def on_registration(self, entry: ServerEntry, now: float) -> None:
        """Record a new or changed registration of a server."""
        self.eligibility.on_registration(entry.server)
        if entry.warm_up_s > 0:
            self.get_evidence(entry).cold_until = now + entry.warm_up_s

    def forget(self, server: str) -> None:
        """Delete the evidence about a server that is gone, or has started again.

        What it has said of itself is kept while that holds: its registration may only
        have lapsed, and then the same start of it returns.
        """
        self._evidence_by_server.pop(server, None)
        self.eligibility.forget(server)
        self.sharing.forget(server)

    def on_restarted(self, server: str) -> None:
        """Delete what an earlier start of a server has said that names no start."""
        self.eligibility.server_limits.forget(server)

    def get_evidence(self, entry: ServerEntry) -> ServerEvidence:
        """Return the evidence about a server, created at its first use."""
        evidence = self._evidence_by_server.get(entry.server)
        if evidence is None:
            work_s = self._service_evidence(entry.service).work_s
            evidence = ServerEvidence(self._round_trip_s(entry) + work_s)
            self._evidence_by_server[entry.server] = evidence
        return evidence

    def _expected_cost_s(self, entry: ServerEntry, route: Route, now: float) -> float:
        """Return the expected latency plus penalties, slightly randomized."""
        evidence = self.get_evidence(entry)
        round_trip_s = self._round_trip_s(entry)
        cost = evidence.expected_latency_s(now)
        work_s = max(cost - round_trip_s, cost / 4)
        if not self.has_connection(entry.server):
            cost += round_trip_s
        cost += work_s * len(evidence.in_flight) / max(1, entry.slots)
        failure_penalty_s = (
            FAILURE_PENALTY_S if route.idempotent else NON_IDEMPOTENT_FAILURE_PENALTY_S
        )
        cost += failure_penalty_s * evidence.failure_ratio(now)
        if evidence.is_silent(now) or now < evidence.reported_silent_until:
            cost += SILENCE_PENALTY_S
        if now < evidence.cold_until:
            cost += work_s * (COLD_WORK_FACTOR - 1)
        if self.eligibility.leaving_servers.is_leaving(entry):
            cost += LEAVING_PENALTY_S
        if now < evidence.ejected_until:
            cost += EJECTION_PENALTY_S
        return cost * (1 + COST_JITTER_RATIO * self._rng.random())

    def _is_cold(self, entry: ServerEntry, now: float) -> bool:
        evidence = self._evidence_by_server.get(entry.server)
        return evidence is not None and now < evidence.cold_until

    def _round_trip_s(self, entry: ServerEntry) -> float:
        measured = self._round_trips_by_data_centre.get(entry.data_centre)
        if measured is not None:
            return measured
        is_near = self._regions.get(entry.data_centre) == self._region
        return DEFAULT_NEAR_ROUND_TRIP_S if is_near else DEFAULT_FAR_ROUND_TRIP_S

    def _service_evidence(self, service: str) -> ServiceEvidence:
        return self._evidence_by_service.setdefault(service, ServiceEvidence())


def _is_own_answer(answer: BackendAnswer) -> bool:
    """Return whether an answer comes from the server that was asked, intact."""
    return answer.verdict not in (Verdict.MISDIRECTED, Verdict.SPOILED)
