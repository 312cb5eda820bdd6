"""What this instance has seen of the work that a service's requests take."""

WEIGHT = 0.05  # of a new latency; a service is seen far more often than a server
FIRST_WORK_S = 0.02  # seconds of work that are guessed before the first answer
SLOW_FACTOR = 3.0  # times the usual work after which an answer is unusually late
SLOW_MARGIN_S = 0.015  # seconds; short work varies with the queue in front of it


class ServiceEvidence:
    """Hold the usual work of a service's requests, without the way, in seconds.

    A single late answer counts for no more than the time after which it is late.
    """

    __slots__ = ("work_s", "_seen")

    def __init__(self) -> None:
        self.work_s = FIRST_WORK_S
        self._seen = False

    def learn(self, work_s: float) -> None:
        """Note the work of one request."""
        if not self._seen:
            self._seen = True
            self.work_s = work_s
        self.work_s += WEIGHT * (min(work_s, self.slow_after_s()) - self.work_s)

    def slow_after_s(self) -> float:
        """Return the work after which an answer of the service is unusually late."""
        return SLOW_FACTOR * self.work_s + SLOW_MARGIN_S
