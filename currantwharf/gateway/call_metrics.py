"""Counters and histograms of calls in the Prometheus exposition format."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from currantwharf.gateway.call_result import CallResult
from currantwharf.gateway.running_call import RunningCall
from currantwharf.http1 import PROCESS_BUDGET
from currantwharf.policy.recently_used import RecentlyUsed
from currantwharf.runtime.unexpected_errors import PROCESS_ERRORS

# Upper bounds, from the latency of a near shard to the longest deadlines.
LATENCY_BUCKETS_S = (0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 15.0)
MAX_CLASSES = 256  # the metrics of a class take 10 KB
COVERAGE_BUCKET_RATIOS = (0.5, 0.75, 0.85, 0.9, 0.95, 0.99, 1.0)


class CallMetrics:
    """Metrics of calls by class; the class of a call is the name of its route.

    At most `max_classes` have metrics at a time, those of the latest calls. Each that
    gives way is counted as the event `classes_dropped`.
    """

    def __init__(self, max_classes: int = MAX_CLASSES) -> None:
        self.registry = CollectorRegistry()
        self._calls = Counter(
            "currantwharf_calls",
            "Calls by class, outcome and reason",
            ("class", "outcome", "reason"),
            registry=self.registry,
        )
        self._late = Counter(
            "currantwharf_late_calls",
            "Calls answered after their target",
            ("class",),
            registry=self.registry,
        )
        self._latency = Histogram(
            "currantwharf_latency_seconds",
            "Time from the request to its answer, at this instance",
            ("class",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._coverage = Histogram(
            "currantwharf_coverage",
            "Share of the shards that an answer holds",
            ("class",),
            buckets=COVERAGE_BUCKET_RATIOS,
            registry=self.registry,
        )
        self._sends = Counter(
            "currantwharf_backend_requests",
            "Requests to backend servers, first ones and repeats",
            ("class", "kind"),
            registry=self.registry,
        )
        self._held_bytes = Gauge(
            "currantwharf_held_bytes",
            "Bytes of messages that are being received, on all connections",
            registry=self.registry,
        )
        self._held_bytes.set_function(lambda: PROCESS_BUDGET.used)
        PROCESS_BUDGET.on_eviction = lambda: self.count_event("messages_evicted")
        PROCESS_ERRORS.on_error = lambda: self.count_event("unexpected_errors")
        self._events = Counter(
            "currantwharf_events",
            "Events of this instance",
            ("event",),
            registry=self.registry,
        )

        self._classes: RecentlyUsed[bool] = RecentlyUsed(max_classes, self._drop_class)

    def on_result(self, call: RunningCall, result: CallResult, now: float) -> None:
        """Record the result of a call."""
        name = call.route.name
        self._classes.get_or_add(name, lambda: True)
        self._calls.labels(name, result.outcome.value, result.reason.value).inc()
        self._latency.labels(name).observe(now - call.request.arrived_at)
        self._sends.labels(name, "first").inc(result.sends - result.extras)
        self._sends.labels(name, "repeat").inc(result.extras)
        if result.answers:
            self._coverage.labels(name).observe(result.coverage.share)
            if now > call.request.target_at:
                self._late.labels(name).inc()

    def _drop_class(self, name: str) -> None:
        for metric in (
            self._calls,
            self._late,
            self._latency,
            self._coverage,
            self._sends,
        ):
            metric.remove_by_labels({"class": name})
        self.count_event("classes_dropped")

    def count_event(self, event: str, amount: int = 1) -> None:
        """Count an event of this instance."""
        self._events.labels(event).inc(amount)

    def render(self) -> bytes:
        """Return all metrics in the exposition format."""
        return generate_latest(self.registry)
