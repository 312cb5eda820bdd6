"""The only module that reads the system clocks; other code receives the time."""

from time import CLOCK_BOOTTIME, clock_gettime, monotonic, time
from typing import Protocol


class Clock(Protocol):
    """Source of the time, in seconds."""

    def now(self) -> float:
        """Return the monotonic time, which is used for all waits and deadlines."""

    def wall(self) -> float:
        """Return the Unix time, for comparison with times sent by callers."""

    def time_since_boot(self) -> float:
        """Return the time since boot; it includes suspensions of the machine."""


class SystemClock:
    """The clocks of the machine."""

    def now(self) -> float:
        """Return the monotonic time, which is used for all waits and deadlines."""
        return monotonic()

    def wall(self) -> float:
        """Return the Unix time, for comparison with times sent by callers."""
        return time()

    def time_since_boot(self) -> float:
        """Return the time since boot; it includes suspensions of the machine."""
        return clock_gettime(CLOCK_BOOTTIME)
