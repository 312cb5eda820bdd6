"""Where metrics are sent."""

from typing import Protocol

from statsd import StatsClient

PREFIX = "currantwharf"


class MetricSink(Protocol):
    """The part of a statsd client that is used here."""

    def incr(self, name: str, amount: int) -> None:
        """Add to a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration."""


class NoSink:
    """Send metrics nowhere, for an instance without a statsd address."""

    def incr(self, name: str, amount: int) -> None:
        """Do nothing."""

    def gauge(self, name: str, value: float) -> None:
        """Do nothing."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Do nothing."""


def make_sink(address: str) -> MetricSink:
    """Return a sink for a statsd `host:port`, or one that sends nothing for ''."""
    if not address:
        return NoSink()
    host, _, port = address.rpartition(":")
    client: MetricSink = StatsClient(host, int(port), prefix=PREFIX)
    return client
