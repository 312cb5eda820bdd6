"""The destinations of metrics: statsd, or none."""

from typing import Protocol

from statsd import StatsClient

PREFIX = "currantwharf"


class MetricSink(Protocol):
    """The methods of a statsd client that are used here."""

    def incr(self, name: str, amount: int) -> None:
        """Add to a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration in milliseconds."""


class NullSink:
    """Discards metrics, for an instance without a statsd address."""

    def incr(self, name: str, amount: int) -> None:
        """Do nothing."""

    def gauge(self, name: str, value: float) -> None:
        """Do nothing."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Do nothing."""


def make_sink(address: str) -> MetricSink:
    """Return a sink for a statsd `host:port`, or a null sink for ''."""
    if not address:
        return NullSink()
    host, _, port = address.rpartition(":")
    client: MetricSink = StatsClient(host, int(port), prefix=PREFIX)
    return client
