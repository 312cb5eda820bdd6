"""Detection of pauses of this process."""

MIN_PAUSE_S = 0.75  # shortest gap between clock readings that counts as a pause


class PauseDetector:
    """Detect pauses by comparing successive readings of the clock.

    The process reads the clock many times a second. A gap between two readings means
    that it did not run, so its view of the fleet may be out of date.
    """

    def __init__(self, now: float) -> None:
        self._last_reading = now

    def observe(self, now: float) -> float:
        """Return the length in seconds of the pause that ends at `now`, or 0.

        >>> detector = PauseDetector(10.0)
        >>> detector.observe(10.1), round(detector.observe(15.1), 6)
        (0.0, 5.0)
        """
        gap_s = now - self._last_reading
        self._last_reading = now
        return gap_s if gap_s > MIN_PAUSE_S else 0.0
