"""Estimate of how late answers leave that are timed to leave at their target."""

SMOOTHING_FACTOR = 0.15  # weight of a new overrun in the mean and the mean deviation
MARGIN_DEVIATIONS = 2.0  # about 1 answer in 20 overruns by more than this margin
MAX_OVERRUN_S = 0.03  # a longer overrun means overload, not the usual delay


class OverrunEstimator:
    """Moving estimate of the time between an answer's target and its writing.

    Timers fire late on a busy processor, and merging takes time, so the instance
    starts to answer earlier by this margin. All times are in seconds.
    """

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._deviation_s = 0.0

    def record(self, overrun_s: float) -> None:
        """Record by how much an answer left after its planned time."""
        error = min(max(overrun_s, 0.0), MAX_OVERRUN_S) - self._mean_s
        self._mean_s += SMOOTHING_FACTOR * error
        self._deviation_s += SMOOTHING_FACTOR * (abs(error) - self._deviation_s)

    def margin_s(self) -> float:
        """Return how much earlier than its target an answer has to be started.

        >>> overrun = OverrunEstimator()
        >>> for _ in range(50):
        ...     overrun.record(0.004)
        >>> 0.004 <= round(overrun.margin_s(), 3) <= 0.005
        True
        """
        return min(MAX_OVERRUN_S, self._mean_s + MARGIN_DEVIATIONS * self._deviation_s)
