"""Rate limit for the requests that this instance sends to cold backend servers."""

from collections.abc import Callable

from currantwharf.gateway.server_entry import ServerEntry
from currantwharf.policy.rendezvous import score

MIN_RATE_PER_S = 0.1  # an instance with a lower rate sends a cold server nothing
SCORE_RANGE = 2**64


class ColdLimit:
    """Token buckets for this instance's share of the load on each cold server.

    `get_cold_rate` returns the requests per second that a cold server of a service
    can take from all instances together, or None if the service declares no limit.
    `share` is the fraction of that rate which this instance may use. The instance's
    name determines the initial fill of each bucket, so that the first requests of all
    instances are spread over time.
    """

    def __init__(self, instance: str) -> None:
        self.get_cold_rate: Callable[[str], float | None] = lambda service: None
        self.share = 0.0
        self._instance = instance
        self._buckets: dict[str, tuple[float, float]] = {}

    def can_send(self, entry: ServerEntry, now: float) -> bool:
        """Return whether the limit allows one more request to a cold server."""
        rate = self._instance_rate(entry)
        return rate is None or self._available_tokens(entry, rate, now) >= 1.0

    def on_send(self, entry: ServerEntry, now: float) -> None:
        """Spend a token for a request to a cold server."""
        rate = self._instance_rate(entry)
        if rate is not None:
            tokens = self._available_tokens(entry, rate, now) - 1.0
            self._buckets[entry.server] = (tokens, now)

    def forget(self, server: str) -> None:
        """Delete the bucket of a server that is gone or warm."""
        self._buckets.pop(server, None)

    def _instance_rate(self, entry: ServerEntry) -> float | None:
        declared = self.get_cold_rate(entry.service)
        return None if declared is None else declared * self.share

    def _available_tokens(self, entry: ServerEntry, rate: float, now: float) -> float:
        """Return the server's tokens; a bucket holds one second's worth, at least 1."""
        if rate < MIN_RATE_PER_S:
            return 0.0
        bucket = self._buckets.get(entry.server)
        if bucket is None:
            bucket = score(self._instance, entry.server) / SCORE_RANGE, now
            self._buckets[entry.server] = bucket
        tokens, updated_at = bucket
        return min(max(1.0, rate), tokens + (now - updated_at) * rate)
