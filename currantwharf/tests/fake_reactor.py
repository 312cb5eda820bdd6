"""A reactor whose time is the test's to advance, fast with many timers."""

import heapq
from collections.abc import Callable
from typing import Any

from twisted.internet.base import DelayedCall


class FakeReactor:
    """Keep timers in a heap; a cancelled or moved timer is skipped when met."""

    def __init__(self) -> None:
        self._now = 0.0
        self._count = 0
        self._heap: list[tuple[float, int, DelayedCall]] = []

    def seconds(self) -> float:
        return self._now

    def callLater(self, delay: float, call: Callable[..., Any], *args: Any) -> Any:
        timer = DelayedCall(
            self._now + delay, call, args, {}, lambda _: None, self._push, self.seconds
        )
        self._push(timer)
        return timer

    def advance(self, seconds: float) -> None:
        """Run all that is due in the next `seconds`, each at its own time."""
        end = self._now + seconds
        while self._heap and self._heap[0][0] <= end:
            at, _, timer = heapq.heappop(self._heap)
            if timer.cancelled or timer.called:
                continue
            if timer.getTime() > at:
                # A timer that was put off does not tell of it.
                self._push(timer)
                continue
            self._now = at
            timer.called = 1
            timer.func(*timer.args)
        self._now = end

    def _push(self, timer: DelayedCall) -> None:
        self._count += 1
        heapq.heappush(self._heap, (timer.getTime(), self._count, timer))
