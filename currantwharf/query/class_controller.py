"""The controller of one class: its targets turned into behaviour.

The hedge delay follows the tail of the shard latencies (Dean and Barroso, "The Tail
at Scale", 2013): it is the quantile above which as many shard requests lie as the
cost target lets be sent twice. Nothing else is set by the operator.
"""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from currantwharf.config import Targets
from currantwharf.policy.extra_budget import ExtraBudget

POLICY_AGE_S = 0.25  # seconds for which a policy is kept
WINDOW_S = 10.0  # seconds that one histogram of latencies covers
LEAST_SAMPLES = 50  # shard latencies before the quantile counts
HEDGE_QUANTILE_SHARE = 0.8  # of the extra load that the delay is set for
LEAST_HEDGE_S = 0.002  # seconds
ANSWER_SHARE = 0.9  # of the latency target at which an incomplete answer goes out
HIGHEST_MS = 60_000  # milliseconds
PRECISION = 2  # significant digits


@dataclass(frozen=True, slots=True)
class QueryPolicy:
    """Say when to hedge and when to answer, in seconds from the request's start.

    `answer_after_s` is None for a class that waits for the whole answer.
    """

    hedge_after_s: float
    answer_after_s: float | None


class ClassController:
    """Watch the shard latencies of a class and set its policy."""

    def __init__(self, targets: Targets, now: float) -> None:
        self.targets = targets
        self.budget = ExtraBudget(targets.extra_load)
        self._recent = _new_histogram()
        self._older = _new_histogram()
        self._turned_at = now
        self._policy = self._find_policy()
        self._policy_at = now

    def record(self, latency_s: float, now: float) -> None:
        """Note the latency of one shard's answer."""
        if now - self._turned_at > WINDOW_S:
            self._older, self._recent = self._recent, self._older
            self._recent.reset()
            self._turned_at = now
        micros = min(max(1, int(latency_s * 1e6)), HIGHEST_MS * 1000)
        self._recent.record_value(micros)

    def policy(self, now: float) -> QueryPolicy:
        """Return the policy in force."""
        if now - self._policy_at > POLICY_AGE_S:
            self._policy = self._find_policy()
            self._policy_at = now
        return self._policy

    def _find_policy(self) -> QueryPolicy:
        latency_s = self.targets.latency_ms / 1000
        answer_after = None
        if self.targets.prefer == "latency":
            answer_after = latency_s * ANSWER_SHARE
        return QueryPolicy(self._hedge_delay(latency_s), answer_after)

    def _hedge_delay(self, latency_s: float) -> float:
        if self.targets.extra_load <= 0:
            return float("inf")
        full = max(self._recent, self._older, key=lambda h: h.get_total_count())
        if full.get_total_count() < LEAST_SAMPLES:
            return latency_s / 3
        quantile = 100 * (1 - HEDGE_QUANTILE_SHARE * self.targets.extra_load)
        delay = float(full.get_value_at_percentile(quantile)) / 1e6
        # A hedge later than half the target can't bring an answer in time.
        return min(max(delay, LEAST_HEDGE_S), latency_s / 2)


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, HIGHEST_MS * 1000, PRECISION)
