"""One instance in a fake world, with its own view of the reactor."""

from collections.abc import Callable
from typing import Any

from currantwharf.tests.fake_reactor import FakeReactor

START_WALL = 1_700_000_000.0  # Unix time at which a fake world begins


class NodeReactor:
    """Schedule calls of one process; a paused process runs none, a dead one never."""

    def __init__(self, clock: FakeReactor) -> None:
        self._clock = clock
        self._held: list[tuple[Callable[..., Any], tuple[Any, ...]]] = []
        self.paused = False
        self.dead = False

    def callLater(self, delay: float, call: Callable[..., Any], *args: Any) -> Any:
        return self._clock.callLater(delay, self.run, call, *args)

    def run(self, call: Callable[..., Any], *args: Any) -> None:
        if self.dead:
            return
        if self.paused:
            self._held.append((call, args))
        else:
            call(*args)

    def resume(self) -> None:
        self.paused = False
        held, self._held = self._held, []
        for call, args in held:
            self.run(call, *args)


class NodeClock:
    """Tell the world's time; all processes share it."""

    def __init__(self, clock: FakeReactor) -> None:
        self._clock = clock

    def now(self) -> float:
        return self._clock.seconds()

    def wall(self) -> float:
        return START_WALL + self._clock.seconds()

    def time_since_boot(self) -> float:
        return self._clock.seconds()
