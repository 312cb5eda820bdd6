"""Detection of an instance that knows of newer changes and does not get them."""

from currantwharf.gateway.store_position import StorePosition

# Lag that is reported; announced changes usually arrive within half a second.
REPORTED_LAG_S = 1.5


class LagWatch:
    """Detector of a lag behind the newest position that peers have reported.

    >>> watch, known = LagWatch(), StorePosition(1, 100)
    >>> watch.observe(known, StorePosition(1, 105), 10.0)
    0.0
    >>> watch.observe(known, StorePosition(1, 105), 12.0)
    2.0
    >>> watch.observe(known, StorePosition(1, 107), 12.5)
    0.0
    """

    def __init__(self) -> None:
        self._since: float | None = None
        self._is_reported = False

    def observe(
        self, position: StorePosition, newest: StorePosition, now: float
    ) -> float:
        """Return the length in seconds of a lag that is to be reported now, or 0.

        Each lag is reported once, when it has lasted for `REPORTED_LAG_S`.
        """
        if position >= newest:
            self._since, self._is_reported = None, False
            return 0.0
        if self._since is None:
            self._since = now
        lag_s = now - self._since
        if self._is_reported or lag_s < REPORTED_LAG_S:
            return 0.0
        self._is_reported = True
        return lag_s
