"""The only place that reads the clocks; everything else is told the time."""

from time import CLOCK_BOOTTIME, clock_gettime, monotonic, time
from typing import Protocol


class Clock(Protocol):
    """Tell the time in seconds."""

    def now(self) -> float:
        """Return the monotonic clock, for every wait and deadline."""

    def wall(self) -> float:
        """Return the Unix time, for comparison with a caller's."""

    def time_since_boot(self) -> float:
        """Return the clock that also runs while the machine is suspended."""


class SystemClock:
    """Read the clocks of the machine."""

    def now(self) -> float:
        """Return the monotonic clock, for every wait and deadline."""
        return monotonic()

    def wall(self) -> float:
        """Return the Unix time, for comparison with a caller's."""
        return time()

    def time_since_boot(self) -> float:
        """Return the clock that also runs while the machine is suspended."""
        return clock_gettime(CLOCK_BOOTTIME)
