"""What this instance has observed of the work that a service's requests take."""

WORK_WEIGHT = 0.05  # of a new value; a service has far more samples than one server
INITIAL_WORK_S = 0.02  # assumed until the first answer
SLOW_FACTOR = 3.0  # times the usual work, above which an answer is unusually late
BUSY_INTERVAL_S = 1.0  # longest gap between requests that keeps connections open
SLOW_MARGIN_S = 0.015  # short work varies with the queue in front of it


class ServiceEvidence:
    """The usual work of a service's requests: their latency without the network.

    `work_s` is a moving mean in seconds; a late answer counts at most as the slow
    threshold. `is_busy` is true if the last two requests were close together.
    """

    __slots__ = ("work_s", "is_busy", "_has_sample", "_last_request_at")

    def __init__(self) -> None:
        self.work_s = INITIAL_WORK_S
        self.is_busy = False
        self._has_sample = False
        self._last_request_at = float("-inf")

    def on_request(self, now: float) -> None:
        """Record a request for the service."""
        self.is_busy = now - self._last_request_at <= BUSY_INTERVAL_S
        self._last_request_at = now

    def record_work(self, work_s: float) -> None:
        """Record the work of one request, in seconds."""
        if not self._has_sample:
            self._has_sample = True
            self.work_s = work_s
        self.work_s += WORK_WEIGHT * (
            min(work_s, self.slow_threshold_s()) - self.work_s
        )

    def slow_threshold_s(self) -> float:
        """Return the work above which an answer of the service is unusually late."""
        return SLOW_FACTOR * self.work_s + SLOW_MARGIN_S
