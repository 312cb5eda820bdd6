"""Records the results that callers got, for statsd and for operators."""

from currantwharf.metrics.class_histograms import ClassHistograms
from currantwharf.metrics.sink import MetricSink
from currantwharf.query import QueryResult

MAX_CALLERS = 100  # per class, with histograms of their own
OTHER_CALLERS = "(others)"


class Recorder:
    """Keeps histograms for each class and each of its callers, and event counters.

    Callers beyond the first `MAX_CALLERS` of a class share one set of histograms, so
    that a flood of caller names can't exhaust the memory.
    """

    def __init__(self, sink: MetricSink) -> None:
        self._sink = sink
        self._classes: dict[str, ClassHistograms] = {}
        self._callers: dict[str, dict[str, ClassHistograms]] = {}
        self._counters: dict[str, int] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self._counters[name] = self._counters.get(name, 0) + amount
        self._sink.incr(name, amount)

    def record(self, result: QueryResult, latency_s: float) -> None:
        """Record the result of one request."""
        extra_load = result.extra_sends / result.sends if result.sends else 0.0
        coverage = result.coverage
        for histograms in self._get_histograms(result):
            histograms.record(
                latency_s,
                coverage.share,
                extra_load,
                coverage.is_complete,
                result.outcome,
            )
        name = result.class_name
        self._sink.timing(f"{name}.latency", latency_s * 1000)
        self._sink.gauge(f"{name}.coverage", coverage.share)
        self._sink.gauge(f"{name}.extra_load", extra_load)
        self.count(f"{name}.{result.outcome}")

    def summary(self) -> dict[str, object]:
        """Return all counters and histograms as plain data for JSON."""
        return {
            "counters": dict(sorted(self._counters.items())),
            "classes": {
                name: {
                    **histograms.summary(),
                    "callers": {
                        caller: caller_histograms.summary()
                        for caller, caller_histograms in self._callers[name].items()
                    },
                }
                for name, histograms in self._classes.items()
            },
        }

    def _get_histograms(self, result: QueryResult) -> tuple[ClassHistograms, ...]:
        class_histograms = self._classes.setdefault(
            result.class_name, ClassHistograms()
        )
        callers = self._callers.setdefault(result.class_name, {})
        caller = result.caller
        if caller not in callers and len(callers) >= MAX_CALLERS:
            caller = OTHER_CALLERS
        return class_histograms, callers.setdefault(caller, ClassHistograms())
