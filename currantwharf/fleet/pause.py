"""Recognise that this process itself was paused."""

PAUSE_S = 0.75  # seconds between two looks at the clock


class PauseDetector:
    """Compare successive readings of the clock.

    The process looks at the clock many times a second. A gap between two looks means
    that it did not run, and what it believes may be out of date.
    """

    def __init__(self, now: float) -> None:
        self._last = now

    def observe(self, now: float) -> float:
        """Return the length of the pause that ends at `now` in seconds, or 0.

        >>> detector = PauseDetector(10.0)
        >>> detector.observe(10.1), round(detector.observe(15.1), 6)
        (0.0, 5.0)
        """
        gap = now - self._last
        self._last = now
        return gap if gap > PAUSE_S else 0.0
