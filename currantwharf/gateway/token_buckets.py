"""Token buckets for this instance's share of the requests that a server may get."""

from currantwharf.policy.rendezvous import score

SCORE_RANGE = 2**64


class TokenBuckets:
    """One bucket for each server, which holds one second's worth of tokens, at least 1.

    Rates are in tokens per second. The instance's name determines the initial fill of
    each bucket, so that the first requests of all instances are spread over time.

    >>> buckets = TokenBuckets("i")
    >>> buckets.count("s1", 0.5, 10.0) < 1.0 <= buckets.count("s1", 0.5, 12.0)
    True
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._buckets: dict[str, tuple[float, float]] = {}

    def count(self, server: str, rate: float, now: float) -> float:
        """Return the tokens in a server's bucket, which is filled at `rate`."""
        bucket = self._buckets.get(server)
        if bucket is None:
            bucket = score(self._instance, server) / SCORE_RANGE, now
            self._buckets[server] = bucket
        tokens, updated_at = bucket
        return min(max(1.0, rate), tokens + (now - updated_at) * rate)

    def spend(self, server: str, rate: float, now: float) -> None:
        """Take a token out of a server's bucket, which may be empty."""
        self._buckets[server] = (self.count(server, rate, now) - 1.0, now)

    def forget(self, server: str) -> None:
        """Delete the bucket of a server."""
        self._buckets.pop(server, None)
