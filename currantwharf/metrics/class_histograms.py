"""The histograms of one class or of one caller of it."""

from bisect import bisect_left
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

LONGEST_US = 120_000_000  # microseconds
PRECISION = 2  # significant digits
PER_MILLE = 1000  # coverage and extra load are recorded in thousandths
MOST_PER_MILLE = 4 * PER_MILLE
BUCKETS_MS = (5, 10, 20, 50, 100, 200, 500, 1000)  # upper bounds of the shown buckets


def _latency() -> HdrHistogram:
    return HdrHistogram(1, LONGEST_US, PRECISION)


def _share() -> HdrHistogram:
    return HdrHistogram(1, MOST_PER_MILLE, PRECISION)


@dataclass(slots=True)
class ClassHistograms:
    """Hold latency, coverage and extra load, with a count for each outcome."""

    latency: HdrHistogram = field(default_factory=_latency)
    coverage: HdrHistogram = field(default_factory=_share)
    extra_load: HdrHistogram = field(default_factory=_share)
    outcomes: dict[str, int] = field(default_factory=dict)
    whole: int = 0
    coverage_sum: float = 0.0
    extra_load_sum: float = 0.0

    def record(
        self, latency_s: float, coverage: float, extra: float, whole: bool, outcome: str
    ) -> None:
        """Note one result; `coverage` and `extra` are shares."""
        self.latency.record_value(min(max(1, int(latency_s * 1e6)), LONGEST_US))
        self.coverage.record_value(max(1, int(coverage * PER_MILLE)))
        self.extra_load.record_value(
            min(max(1, int(extra * PER_MILLE)), MOST_PER_MILLE)
        )
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        self.whole += whole
        self.coverage_sum += coverage
        self.extra_load_sum += extra

    def summary(self) -> dict[str, object]:
        """Return the quantiles that operators read, in milliseconds and shares."""
        count = sum(self.outcomes.values())
        return {
            "count": count,
            "outcomes": dict(self.outcomes),
            "whole_share": round(self.whole / count, 4) if count else None,
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
        """Return the requests in each bucket, and last those above all of them."""
        counts = [0] * (len(BUCKETS_MS) + 1)
        for step in self.latency.get_recorded_iterator():
            latency_ms = step.value_iterated_to / 1000
            counts[bisect_left(BUCKETS_MS, latency_ms)] += (
                step.count_at_value_iterated_to
            )
        return counts
