"""The only place that reads the clocks; everything else is told the time."""

from time import monotonic, time
from typing import Protocol


class Clock(Protocol):
    """Tell the time in seconds."""

    def now(self) -> float:
        """Return the monotonic clock, for every wait and deadline."""

    def wall(self) -> float:
        """Return the Unix time, for comparison with a caller's."""


class SystemClock:
    """Read the clocks of the machine."""

    def now(self) -> float:
        """Return the monotonic clock, for every wait and deadline."""
        return monotonic()

    def wall(self) -> float:
        """Return the Unix time, for comparison with a caller's."""
        return time()
