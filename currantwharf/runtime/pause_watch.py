"""Recognise that the process was paused, or the machine suspended."""

PAUSE_S = 1.5  # seconds between two looks that are due four times a second


class PauseWatch:
    """Compare successive readings of two clocks.

    The monotonic clock shows that the process did not run; the clock that goes on
    while a machine is suspended shows that the machine did not.
    """

    def __init__(self, now: float, time_since_boot: float) -> None:
        self._now = now
        self._boot = time_since_boot

    def observe(self, now: float, time_since_boot: float) -> float:
        """Return the length of the pause that has just ended in seconds, or 0.

        >>> watch = PauseWatch(10.0, 500.0)
        >>> watch.look(10.2, 500.2), round(watch.look(10.4, 504.4), 6)
        (0.0, 4.2)
        """
        gap = max(now - self._now, time_since_boot - self._boot)
        self._now, self._boot = now, time_since_boot
        return gap if gap > PAUSE_S else 0.0
