"""What this instance has seen of the work that a service's requests take."""

WEIGHT = 0.05  # of a new latency; a service is seen far more often than a server
FIRST_WORK_S = 0.02  # seconds of work that are guessed before the first answer
SLOW_FACTOR = 3.0  # times the usual work after which an answer is unusually late
BUSY_S = 1.0  # seconds between two requests of a service whose connections stay warm
SLOW_MARGIN_S = 0.015  # seconds; short work varies with the queue in front of it


class ServiceEvidence:
    """Hold the usual work of a service's requests, without the way, in seconds.

    A single late answer counts for no more than the time after which it is late.
    `is_busy` tells whether the last two requests came close upon each other.
    """

    __slots__ = ("work_s", "is_busy", "_seen", "_asked_at")

    def __init__(self) -> None:
        self.work_s = FIRST_WORK_S
        self.is_busy = False
        self._seen = False
        self._asked_at = float("-inf")

    def on_request(self, now: float) -> None:
        """Note a request for the service."""
        self.is_busy = now - self._asked_at <= BUSY_S
        self._asked_at = now

    def learn(self, work_s: float) -> None:
        """Note the work of one request."""
        if not self._seen:
            self._seen = True
            self.work_s = work_s
        self.work_s += WEIGHT * (min(work_s, self.slow_after_s()) - self.work_s)

    def slow_after_s(self) -> float:
        """Return the work after which an answer of the service is unusually late."""
        return SLOW_FACTOR * self.work_s + SLOW_MARGIN_S
