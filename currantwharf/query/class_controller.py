"""Per-class controller that derives hedging and answer times from the targets.

The hedge delay follows the tail of the shard latencies (Dean and Barroso, "The Tail
at Scale", 2013). It is a quantile of these latencies, chosen so that the share of the
shard requests above it stays within the extra load that the targets allow. Operators
set the targets only.
"""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from currantwharf.config import Targets
from currantwharf.policy.extra_budget import ExtraBudget

POLICY_MAX_AGE_S = 0.25  # a computed policy is reused for this long
HISTOGRAM_WINDOW_S = 10.0  # time span of one latency histogram
MIN_SAMPLES = 50  # shard latencies needed before the quantile is used
HEDGE_LOAD_RATIO = 0.8  # part of the extra-load target used to set the hedge delay
MIN_HEDGE_DELAY_S = 0.002
EARLY_ANSWER_RATIO = 0.9  # part of the latency target after which to answer early
MAX_LATENCY_MS = 60_000
SIGNIFICANT_DIGITS = 2


@dataclass(frozen=True, slots=True)
class QueryPolicy:
    """When to hedge and when to answer, in seconds.

    `hedge_after_s` counts from the send of a shard request. `answer_after_s` counts
    from the start of the request; from then on a partial answer may be sent. It is
    None for a class that waits for the complete answer.
    """

    hedge_after_s: float
    answer_after_s: float | None


class ClassController:
    """Record the shard latencies of a class and compute its hedge and answer policy."""

    def __init__(self, targets: Targets, now: float) -> None:
        self.targets = targets
        self.budget = ExtraBudget(targets.extra_load)
        self._current_histogram = _new_histogram()
        self._previous_histogram = _new_histogram()
        self._rotated_at = now
        self._policy = self._compute_policy()
        self._computed_at = now

    def record(self, latency_s: float, now: float) -> None:
        """Record the latency of one shard answer."""
        if now - self._rotated_at > HISTOGRAM_WINDOW_S:
            self._previous_histogram, self._current_histogram = (
                self._current_histogram,
                self._previous_histogram,
            )
            self._current_histogram.reset()
            self._rotated_at = now
        latency_us = min(max(1, int(latency_s * 1e6)), MAX_LATENCY_MS * 1000)
        self._current_histogram.record_value(latency_us)

    def get_policy(self, now: float) -> QueryPolicy:
        """Return the current policy, recomputed when it is out of date."""
        if now - self._computed_at > POLICY_MAX_AGE_S:
            self._policy = self._compute_policy()
            self._computed_at = now
        return self._policy

    def _compute_policy(self) -> QueryPolicy:
        target_s = self.targets.latency_ms / 1000
        answer_after_s = None
        if self.targets.prefer == "latency":
            answer_after_s = target_s * EARLY_ANSWER_RATIO
        return QueryPolicy(self._compute_hedge_delay(target_s), answer_after_s)

    def _compute_hedge_delay(self, target_s: float) -> float:
        if self.targets.extra_load <= 0:
            return float("inf")
        histogram = max(
            self._current_histogram,
            self._previous_histogram,
            key=lambda candidate: candidate.get_total_count(),
        )
        if histogram.get_total_count() < MIN_SAMPLES:
            return target_s / 3
        percentile = 100 * (1 - HEDGE_LOAD_RATIO * self.targets.extra_load)
        delay_s = float(histogram.get_value_at_percentile(percentile)) / 1e6
        # A hedge sent later than half the target would be answered too late.
        return min(max(delay_s, MIN_HEDGE_DELAY_S), target_s / 2)


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_MS * 1000, SIGNIFICANT_DIGITS)
