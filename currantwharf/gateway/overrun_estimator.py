"""How late this instance is with answers that leave just at their target."""

WEIGHT = 0.15  # of a new overrun in the mean and the mean deviation
DEVIATIONS = 2.0  # mean deviations that are kept in hand; one answer in 20 is beyond
MOST_S = 0.03  # seconds; a longer overrun is an overload, not the usual lag


class OverrunEstimator:
    """Learn the time between the target of an answer and its writing, in seconds.

    A timer fires late on a busy processor, and merging takes time; answers are begun
    so much earlier.
    """

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._deviation_s = 0.0

    def record(self, overrun_s: float) -> None:
        """Note by how much an answer left after the time that was planned for it."""
        error = min(max(overrun_s, 0.0), MOST_S) - self._mean_s
        self._mean_s += WEIGHT * error
        self._deviation_s += WEIGHT * (abs(error) - self._deviation_s)

    def margin_s(self) -> float:
        """Return the time to keep in hand.

        >>> overrun = Overrun()
        >>> for _ in range(50):
        ...     overrun.learn(0.004)
        >>> 0.004 <= round(overrun.spare_s(), 3) <= 0.005
        True
        """
        return min(MOST_S, self._mean_s + DEVIATIONS * self._deviation_s)
