"""Rate limit for the requests that this instance sends to cold backend servers."""

from collections.abc import Callable

from currantwharf.gateway.server_entry import ServerEntry
from currantwharf.gateway.token_buckets import TokenBuckets

MIN_RATE_PER_S = 0.1  # an instance with a lower rate sends a cold server nothing


class ColdLimit:
    """This instance's share of the requests that each cold server can take.

    `get_cold_rate` returns the requests per second that a cold server of a service
    can take from all instances together, or None if the service declares no limit.
    `share` is the fraction of that rate which this instance may use.
    """

    def __init__(self, instance: str) -> None:
        self.get_cold_rate: Callable[[str], float | None] = lambda service: None
        self.share = 0.0
        self._buckets = TokenBuckets(instance)

    def can_send(self, entry: ServerEntry, now: float) -> bool:
        """Return whether the limit allows one more request to a cold server."""
        rate = self._instance_rate(entry)
        if rate is None:
            return True
        if rate < MIN_RATE_PER_S:
            return False
        return self._buckets.count(entry.server, rate, now) >= 1.0

    def on_send(self, entry: ServerEntry, now: float) -> None:
        """Spend a token for a request to a cold server."""
        rate = self._instance_rate(entry)
        if rate is not None:
            self._buckets.spend(entry.server, rate, now)

    def forget(self, server: str) -> None:
        """Delete the bucket of a server that is gone or warm."""
        self._buckets.forget(server)

    def _instance_rate(self, entry: ServerEntry) -> float | None:
        declared = self.get_cold_rate(entry.service)
        return None if declared is None else declared * self.share
