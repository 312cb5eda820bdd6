"""The histograms of one request class, or of one caller within a class."""

from bisect import bisect_left
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 120_000_000  # longer latencies are recorded as this
SIGNIFICANT_DIGITS = 2  # decimal precision of the histograms
PER_MILLE = 1000  # coverage and extra load are recorded in thousandths
MAX_PER_MILLE = 4 * PER_MILLE
BUCKETS_MS = (5, 10, 20, 50, 100, 200, 500, 1000)  # upper bounds, as displayed


def _make_latency_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def _make_share_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_PER_MILLE, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class ClassHistograms:
    """Histograms of latency, coverage and extra load, and a count of each outcome.

    Latencies are recorded in microseconds, coverage and extra load in thousandths.
    """

    latency: HdrHistogram = field(default_factory=_make_latency_histogram)
    coverage: HdrHistogram = field(default_factory=_make_share_histogram)
    extra_load: HdrHistogram = field(default_factory=_make_share_histogram)
    outcomes: dict[str, int] = field(default_factory=dict)
    complete_count: int = 0
    coverage_sum: float = 0.0
    extra_load_sum: float = 0.0

    def record(
        self,
        latency_s: float,
        coverage: float,
        extra_load: float,
        is_complete: bool,
        outcome: str,
    ) -> None:
        """Record one result; `coverage` and `extra_load` are fractions of 1."""
        self.latency.record_value(min(max(1, int(latency_s * 1e6)), MAX_LATENCY_US))
        self.coverage.record_value(max(1, int(coverage * PER_MILLE)))
        self.extra_load.record_value(
            min(max(1, int(extra_load * PER_MILLE)), MAX_PER_MILLE)
        )
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        self.complete_count += is_complete
        self.coverage_sum += coverage
        self.extra_load_sum += extra_load

    def summary(self) -> dict[str, object]:
        """Return the counts, the means and the percentiles as plain data for JSON.

        Latencies are in milliseconds; coverage and extra load are fractions.
        """
        count = sum(self.outcomes.values())
        return {
            "count": count,
            "outcomes": dict(self.outcomes),
            "whole_share": round(self.complete_count / count, 4) if count else None,
            "latency_buckets": self.latency_buckets(),
            "latency_ms": {
                f"p{p:g}": round(self.latency.get_value_at_percentile(p) / 1000, 3)
                for p in (50, 90, 99, 99.9)
            },
            "coverage_mean": round(self.coverage_sum / count, 4) if count else None,
            "extra_load_mean": round(self.extra_load_sum / count, 4) if count else None,
            "coverage_p1": self.coverage.get_value_at_percentile(1) / PER_MILLE,
            "extra_load_p99": self.extra_load.get_value_at_percentile(99) / PER_MILLE,
        }

    def latency_buckets(self) -> list[int]:
        """Return the count of requests per bucket; the last one is above all bounds."""
        counts = [0] * (len(BUCKETS_MS) + 1)
        for step in self.latency.get_recorded_iterator():
            latency_ms = step.value_iterated_to / 1000
            counts[bisect_left(BUCKETS_MS, latency_ms)] += (
                step.count_at_value_iterated_to
            )
        return counts
