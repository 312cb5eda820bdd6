"""Record what callers got, for statsd and for operators."""

from currantwharf.metrics.class_histograms import ClassHistograms
from currantwharf.metrics.sink import MetricSink
from currantwharf.query import QueryResult

MOST_CALLERS = 100  # callers of a class with histograms of their own
OTHER_CALLERS = "(others)"


class Recorder:
    """Keep histograms for each class, and for each caller of it, and count events.

    The number of callers is bounded: those beyond it share one entry, so that a
    flood of names can't fill the memory.
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
        """Note the result of one request."""
        extra = result.extra_sends / result.sends if result.sends else 0.0
        coverage = result.coverage
        for histograms in self._histograms_of(result):
            histograms.record(
                latency_s, coverage.share, extra, coverage.is_complete, result.outcome
            )
        name = result.class_name
        self._sink.timing(f"{name}.latency", latency_s * 1000)
        self._sink.gauge(f"{name}.coverage", coverage.share)
        self._sink.gauge(f"{name}.extra_load", extra)
        self.count(f"{name}.{result.outcome}")

    def summary(self) -> dict[str, object]:
        """Return everything for an operator."""
        return {
            "counters": dict(sorted(self._counters.items())),
            "classes": {
                name: {
                    **histograms.summary(),
                    "callers": {
                        caller: own.summary()
                        for caller, own in self._callers[name].items()
                    },
                }
                for name, histograms in self._classes.items()
            },
        }

    def _histograms_of(self, result: QueryResult) -> tuple[ClassHistograms, ...]:
        of_class = self._classes.setdefault(result.class_name, ClassHistograms())
        callers = self._callers.setdefault(result.class_name, {})
        caller = result.caller
        if caller not in callers and len(callers) >= MOST_CALLERS:
            caller = OTHER_CALLERS
        return of_class, callers.setdefault(caller, ClassHistograms())
