"""Token buckets for this instance's share of the requests that a server may get."""

from currantwharf.policy.rendezvous import score

SCORE_RANGE = 2**64


class TokenBuckets:
    """One bucket for each server, of `capacity_s` seconds and one token at least.

    Rates are in tokens per second. The instance's name determines the initial fill of
    each bucket, so that the first requests of all instances are spread over time.

    >>> buckets = TokenBuckets("i")
    >>> buckets.count("s1", 0.5, 10.0) < 1.0 <= buckets.count("s1", 0.5, 12.0)
    True
    """

    def __init__(self, instance: str, capacity_s: float = 1.0) -> None:
        self._instance = instance
        self._capacity_s = capacity_s
        self._buckets: dict[str, tuple[float, float]] = {}

    def count(
        self, server: str, rate: float, now: float, keep_s: float | None = None
    ) -> float:
        """Return the tokens in a server's bucket, which is filled at `rate`.

        A token that is not spent within `keep_s` seconds, if that is given, is lost.
        """
        bucket = self._buckets.get(server)
        if bucket is None:
            bucket = score(self._instance, server) / SCORE_RANGE, now
            self._buckets[server] = bucket
        tokens, updated_at = bucket
        tokens += (now - updated_at) * rate
        if keep_s is not None and tokens >= 1.0:
            part = tokens % 1.0
            return part + (part <= keep_s * rate)
        return min(max(1.0, rate * self._capacity_s), tokens)

    def spend(
        self, server: str, rate: float, now: float, keep_s: float | None = None
    ) -> None:
        """Take a token out of a server's bucket, which may be empty."""
        self._buckets[server] = (self.count(server, rate, now, keep_s) - 1.0, now)

    def forget(self, server: str) -> None:
        """Delete the bucket of a server."""
        self._buckets.pop(server, None)
