"""What this instance has observed of one backend server."""

import math

MEAN_WEIGHT = 0.2  # weight of a new latency, as in TCP's smoothed round trip
DEVIATION_WEIGHT = 0.25  # weight of a new deviation, as in TCP
SLOW_DEVIATIONS = 4.0  # mean deviations above the mean, as in TCP's timeout
SLOW_MARGIN_S = 0.006  # covers the jitter of timers on a busy core
MIN_SAMPLES = 4  # latencies needed before the mean is used as the baseline
PRIOR_SLOW_FACTOR = 2.0  # times the prior; the slow threshold below MIN_SAMPLES
MIN_CONSECUTIVE_SLOW = 2  # slow answers in a row before they count in full
OUTCOME_WEIGHT = 0.3  # weight of a new outcome; three in a row show a change
DECAY_TIME_S = 5.0  # time constant with which unused evidence returns to the prior
FAILURES_TO_EJECT = 2  # in a row
MIN_EJECTION_S = 0.5
# Answers that stay slow for this long are no pause of the server.
MIN_SLOW_TIME_S = 0.3
# How long a server that another instance reports as silent is taken to be so.
REPORTED_SILENCE_S = 0.12
# An answer received this recently counts for more than a report on the server.
OWN_EVIDENCE_S = 0.5
MAX_EJECTION_S = 4.0  # shorter than the restart of a crashed server


class ServerEvidence:
    """Latencies, requests in flight and failures of one server.

    Only answers to requests count, since a health check may pass on a broken server.
    Times are in seconds. `prior_latency_s` is the latency that is expected before the
    first answer. `mean_s` and `deviation_s` are the moving mean and mean deviation of
    the latencies. `in_flight` maps the numbers of attempts to their send times.
    `latency_at` and `outcome_at` are the times of the latest latency and outcome.
    """

    __slots__ = (
        "prior_latency_s",
        "mean_s",
        "deviation_s",
        "samples",
        "latency_at",
        "answered_at",
        "in_flight",
        "consecutive_failures",
        "outcome_at",
        "ejected_until",
        "cold_until",
        "reported_silent_until",
        "_slow_since",
        "_failure_ratio",
        "_consecutive_slow",
    )

    def __init__(self, prior_latency_s: float) -> None:
        self.prior_latency_s = prior_latency_s
        self.mean_s = prior_latency_s
        self.deviation_s = prior_latency_s / 2
        self.samples = 0
        self.latency_at = 0.0
        self.answered_at = 0.0
        self.in_flight: dict[int, float] = {}
        self.consecutive_failures = 0
        self.outcome_at = 0.0
        self.ejected_until = 0.0
        self.cold_until = 0.0
        self.reported_silent_until = 0.0
        self._slow_since: float | None = None
        self._failure_ratio = 0.0
        self._consecutive_slow = 0

    def on_send(self, attempt: int, now: float) -> None:
        """Record a request sent to the server."""
        self.in_flight[attempt] = now

    def on_written(self, attempt: int, now: float) -> None:
        """Record that a request has got a connection; its latency counts from here."""
        if attempt in self.in_flight:
            self.in_flight[attempt] = now

    def on_answer(self, attempt: int, now: float) -> float | None:
        """Record an answer and return its latency in seconds."""
        sent_at = self.in_flight.pop(attempt, None)
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        self.answered_at = now
        self.reported_silent_until = 0.0
        self._record_outcome(0.0, now)
        if sent_at is None:
            return None
        latency_s = now - sent_at
        self._record_latency(latency_s, now)
        return latency_s

    def on_cancelled(self, attempt: int) -> None:
        """Remove a request that ended without any fault of the server."""
        self.in_flight.pop(attempt, None)

    def on_failure(self, attempt: int, now: float) -> None:
        """Record a failure; several in a row eject the server for a while."""
        self.in_flight.pop(attempt, None)
        self.consecutive_failures += 1
        self._record_outcome(1.0, now)
        if self.consecutive_failures >= FAILURES_TO_EJECT:
            doublings = min(self.consecutive_failures - FAILURES_TO_EJECT, 8)
            wait_s = min(MIN_EJECTION_S * 2**doublings, MAX_EJECTION_S)
            self.ejected_until = now + wait_s

    def is_slowness_sustained(self, is_slow: bool, now: float) -> bool:
        """Record whether an answer was slow; return whether they have been for long."""
        if not is_slow:
            self._slow_since = None
            return False
        if self._slow_since is None:
            self._slow_since = now
        return now - self._slow_since >= MIN_SLOW_TIME_S

    def on_reported_silence(self, now: float) -> None:
        """Record that another instance finds the server silent."""
        self.reported_silent_until = now + REPORTED_SILENCE_S

    def on_reported_latency(self, latency_s: float, now: float) -> None:
        """Record that another instance finds the server slow.

        The report raises the expected latency, unless the server has just answered
        this instance fast.
        """
        is_fast = self._slow_since is None and now - self.answered_at < OWN_EVIDENCE_S
        if not is_fast and latency_s > self.expected_latency_s(now):
            self.mean_s = latency_s
            self.latency_at = now

    def expected_latency_s(self, now: float) -> float:
        """Return the expected latency, which decays to the prior over time."""
        decay = _decay_factor(now - self.latency_at)
        return self.prior_latency_s + (self.mean_s - self.prior_latency_s) * decay

    def failure_ratio(self, now: float) -> float:
        """Return the ratio of failed requests, which decays to 0 over time."""
        if not self._failure_ratio:
            return 0.0
        return self._failure_ratio * _decay_factor(now - self.outcome_at)

    def slow_threshold_s(self) -> float:
        """Return the latency above which an answer is unusually late."""
        if self.samples < MIN_SAMPLES:
            return PRIOR_SLOW_FACTOR * self.prior_latency_s + SLOW_MARGIN_S
        return self.mean_s + SLOW_DEVIATIONS * self.deviation_s + SLOW_MARGIN_S

    def is_silent(self, now: float) -> bool:
        """Return whether the oldest request in flight is unusually late.

        A server that has answered any request since that one was sent is not silent.
        """
        for sent_at in self.in_flight.values():
            return (
                now - sent_at > self.slow_threshold_s() and self.answered_at <= sent_at
            )
        return False

    def _record_outcome(self, failed: float, now: float) -> None:
        ratio = self.failure_ratio(now)
        self._failure_ratio = ratio + OUTCOME_WEIGHT * (failed - ratio)
        self.outcome_at = now

    def _record_latency(self, latency_s: float, now: float) -> None:
        self.latency_at = now
        if self.samples == 0:
            self.mean_s = latency_s
            self.deviation_s = latency_s / 4
            self.samples = 1
            return
        slow_threshold_s = self.slow_threshold_s()
        if latency_s > slow_threshold_s:
            self._consecutive_slow += 1
            if self._consecutive_slow < MIN_CONSECUTIVE_SLOW:
                # A single straggler, such as a pause, must not move the mean much.
                latency_s = slow_threshold_s
        else:
            self._consecutive_slow = 0
        self.samples += 1
        error = latency_s - self.mean_s
        self.mean_s += MEAN_WEIGHT * error
        self.deviation_s += DEVIATION_WEIGHT * (abs(error) - self.deviation_s)


def _decay_factor(age_s: float) -> float:
    """Return the remaining weight of evidence of this age."""
    return math.exp(-max(0.0, age_s) / DECAY_TIME_S)
