"""The reactor and the clock that one instance of a fake world sees."""

from collections.abc import Callable
from typing import Any

from currantwharf.tests.fake_reactor import FakeReactor

START_UNIX_TIME_S = 1_700_000_000.0  # Unix time at the start of a fake world


class NodeReactor:
    """Schedules the calls of one process.

    Calls that are due while the process is paused run when it resumes; calls of a dead
    process never run.
    """

    def __init__(self, clock: FakeReactor) -> None:
        self._clock = clock
        self._postponed_calls: list[tuple[Callable[..., Any], tuple[Any, ...]]] = []
        self.paused = False
        self.dead = False

    def callLater(self, delay: float, call: Callable[..., Any], *args: Any) -> Any:
        return self._clock.callLater(delay, self.run, call, *args)

    def run(self, call: Callable[..., Any], *args: Any) -> None:
        if self.dead:
            return
        if self.paused:
            self._postponed_calls.append((call, args))
        else:
            call(*args)

    def resume(self) -> None:
        self.paused = False
        postponed_calls, self._postponed_calls = self._postponed_calls, []
        for call, args in postponed_calls:
            self.run(call, *args)


class NodeClock:
    """Reads the time of the world, which all processes share."""

    def __init__(self, clock: FakeReactor) -> None:
        self._clock = clock

    def now(self) -> float:
        return self._clock.seconds()

    def wall(self) -> float:
        return START_UNIX_TIME_S + self._clock.seconds()

    def time_since_boot(self) -> float:
        return self._clock.seconds()
