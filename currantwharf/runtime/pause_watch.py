"""Detection of pauses of the process and of suspensions of the machine."""

# Shortest gap between observations, due four times a second, that counts as a pause.
MIN_PAUSE_S = 1.5


class PauseWatch:
    """Detector of pauses, which compares successive readings of two clocks.

    A gap on the monotonic clock shows that the process did not run. A gap on the clock
    that continues during a suspension shows that the machine did not run either.
    """

    def __init__(self, now: float, time_since_boot: float) -> None:
        self._now = now
        self._time_since_boot = time_since_boot

    def observe(self, now: float, time_since_boot: float) -> float:
        """Return the length in seconds of the pause that has just ended, or 0.

        >>> watch = PauseWatch(10.0, 500.0)
        >>> watch.observe(10.2, 500.2), round(watch.observe(10.4, 504.4), 6)
        (0.0, 4.2)
        """
        gap = max(now - self._now, time_since_boot - self._time_since_boot)
        self._now, self._time_since_boot = now, time_since_boot
        return gap if gap > MIN_PAUSE_S else 0.0
