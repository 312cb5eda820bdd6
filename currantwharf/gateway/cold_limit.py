"""Rate limit for the requests that this instance sends to cold backend servers.

The load: a cold server gets no requests for a while, since its data centre is out of
service or others are nearer, and then all instances turn to it at once. A server bears
half of its rate and a few requests in one second beyond its rate, so that is what all
instances together may have saved up.
"""

from collections.abc import Callable

from currantwharf.gateway.server_entry import ServerEntry
from currantwharf.gateway.token_buckets import TokenBuckets

MIN_RATE_PER_S = 0.1  # an instance with a lower rate sends a cold server nothing
EXCESS_S = 0.5  # seconds' worth of its rate that a server bears in one second beyond it
EXCESS_REQUESTS = 5.0  # and on top of that
# Where there are more instances than that, a token is lost unless it is spent soon. The
# instances' tokens come at random times, hence a part of the rate.
KEEP_S = 0.2
SPARSE_RATE_RATIO = 0.8


class ColdLimit:
    """This instance's share of the requests that each cold server can take.

    `get_cold_rate` returns the requests per second that a cold server of a service
    can take from all instances together, or None if the service declares no limit.
    `share` is the fraction of that rate which this instance may use.
    """

    def __init__(self, instance: str) -> None:
        self.get_cold_rate: Callable[[str], float | None] = lambda service: None
        self.share = 0.0
        self._buckets = TokenBuckets(instance, EXCESS_S)

    def can_send(self, entry: ServerEntry, now: float) -> bool:
        """Return whether the limit allows one more request to a cold server."""
        declared = self.get_cold_rate(entry.service)
        if declared is None:
            return True
        if declared * self.share < MIN_RATE_PER_S:
            return False
        rate, keep_s = self._instance_rate(declared)
        return self._buckets.count(entry.server, rate, now, keep_s) >= 1.0

    def on_send(self, entry: ServerEntry, now: float) -> None:
        """Spend a token for a request to a cold server."""
        declared = self.get_cold_rate(entry.service)
        if declared is not None:
            rate, keep_s = self._instance_rate(declared)
            self._buckets.spend(entry.server, rate, now, keep_s)

    def forget(self, server: str) -> None:
        """Delete the bucket of a server that is gone or warm."""
        self._buckets.forget(server)

    def _instance_rate(self, declared: float) -> tuple[float, float | None]:
        """Return this instance's rate, and how long it keeps a token, None if long."""
        rate = declared * self.share
        if self.share * (EXCESS_S * declared + EXCESS_REQUESTS) < 1:
            return rate * SPARSE_RATE_RATIO, KEEP_S
        return rate, None
