"""What this instance has seen of one backend server."""

import math

MEAN_WEIGHT = 0.2  # of a new latency in the mean, as in TCP's smoothed round trip
DEVIATION_WEIGHT = 0.25  # of a new deviation in the mean deviation, as in TCP
SLOW_DEVIATIONS = 4.0  # mean deviations above the mean, as in TCP's timeout
SLOW_MARGIN_S = 0.006  # seconds; covers the jitter of timers on a busy core
FEW_SAMPLES = 4  # latencies before the mean counts
PRIOR_FACTOR = 2.0  # times the prior, after which a server without history is slow
SLOW_TO_BELIEVE = 2  # slow answers in a row before they count in full
FAILURE_WEIGHT = 0.3  # of a new outcome in the share of failures; three show a change
FORGET_S = 5.0  # seconds after which an unused server is believed to be average again
EJECT_AFTER = 2  # failures in a row
FIRST_EJECTION_S = 0.5  # seconds
LONGEST_EJECTION_S = 4.0  # seconds; below the time a crashed server takes to be back


class ServerEvidence:
    """Hold latencies, requests under way and failures of one server.

    Evidence comes from answers alone: a health check may say anything. Times are in
    seconds; `prior_s` is what is expected of a server that was not heard of yet.
    """

    __slots__ = (
        "prior_s",
        "mean_s",
        "deviation_s",
        "samples",
        "seen_at",
        "answered_at",
        "under_way",
        "failures",
        "ended_at",
        "ejected_until",
        "cold_until",
        "_failed_share",
        "_slow_in_a_row",
    )

    def __init__(self, prior_s: float) -> None:
        self.prior_s = prior_s
        self.mean_s = prior_s
        self.deviation_s = prior_s / 2
        self.samples = 0
        self.seen_at = 0.0
        self.answered_at = 0.0
        self.under_way: dict[int, float] = {}
        self.failures = 0
        self.ended_at = 0.0
        self.ejected_until = 0.0
        self.cold_until = 0.0
        self._failed_share = 0.0
        self._slow_in_a_row = 0

    def on_send(self, attempt: int, now: float) -> None:
        """Note a request that goes to the server."""
        self.under_way[attempt] = now

    def on_answer(self, attempt: int, now: float) -> float | None:
        """Note an answer and return its latency in seconds."""
        sent_at = self.under_way.pop(attempt, None)
        self.failures = 0
        self.ejected_until = 0.0
        self.answered_at = now
        self._learn_outcome(0.0, now)
        if sent_at is None:
            return None
        latency_s = now - sent_at
        self._learn(latency_s, now)
        return latency_s

    def on_end(self, attempt: int) -> None:
        """Note that a request is no longer under way, for no fault of the server."""
        self.under_way.pop(attempt, None)

    def on_failure(self, attempt: int, now: float) -> None:
        """Note a failure; after some in a row the server is ejected for a while."""
        self.under_way.pop(attempt, None)
        self.failures += 1
        self._learn_outcome(1.0, now)
        if self.failures >= EJECT_AFTER:
            doublings = min(self.failures - EJECT_AFTER, 8)
            wait_s = min(FIRST_EJECTION_S * 2**doublings, LONGEST_EJECTION_S)
            self.ejected_until = now + wait_s

    def expected_s(self, now: float) -> float:
        """Return the latency that is expected now; old evidence fades."""
        fading = _fading(now - self.seen_at)
        return self.prior_s + (self.mean_s - self.prior_s) * fading

    def failed_share(self, now: float) -> float:
        """Return the share of requests that fail; old evidence fades."""
        if not self._failed_share:
            return 0.0
        return self._failed_share * _fading(now - self.ended_at)

    def slow_after_s(self) -> float:
        """Return the latency from which an answer is unusually late."""
        if self.samples < FEW_SAMPLES:
            return PRIOR_FACTOR * self.prior_s + SLOW_MARGIN_S
        return self.mean_s + SLOW_DEVIATIONS * self.deviation_s + SLOW_MARGIN_S

    def is_silent(self, now: float) -> bool:
        """Return whether the oldest request under way is unusually late.

        A server that has answered a later request meanwhile is not silent.
        """
        for sent_at in self.under_way.values():
            return now - sent_at > self.slow_after_s() and self.answered_at <= sent_at
        return False

    def _learn_outcome(self, failed: float, now: float) -> None:
        known = self.failed_share(now)
        self._failed_share = known + FAILURE_WEIGHT * (failed - known)
        self.ended_at = now

    def _learn(self, latency_s: float, now: float) -> None:
        self.seen_at = now
        if self.samples == 0:
            self.mean_s = latency_s
            self.deviation_s = latency_s / 4
            self.samples = 1
            return
        slow_after = self.slow_after_s()
        if latency_s > slow_after:
            self._slow_in_a_row += 1
            if self._slow_in_a_row < SLOW_TO_BELIEVE:
                # One straggler, such as a pause, must not move the mean much.
                latency_s = slow_after
        else:
            self._slow_in_a_row = 0
        self.samples += 1
        error = latency_s - self.mean_s
        self.mean_s += MEAN_WEIGHT * error
        self.deviation_s += DEVIATION_WEIGHT * (abs(error) - self.deviation_s)


def _fading(age_s: float) -> float:
    """Return the weight that evidence of this age still has."""
    return math.exp(-max(0.0, age_s) / FORGET_S)
