"""A reactor whose time the test advances; it is fast with many timers."""

import heapq
from collections.abc import Callable
from typing import Any

from twisted.internet.base import DelayedCall


class FakeReactor:
    """Keeps timers in a heap.

    The heap entry of a timer that was cancelled or moved to an earlier time stays until
    it is due, and is then skipped.
    """

    def __init__(self) -> None:
        self._now = 0.0
        self._sequence = 0
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
        """Run all timers that are due in the next `seconds`, each at its own time."""
        end = self._now + seconds
        while self._heap and self._heap[0][0] <= end:
            at, _, timer = heapq.heappop(self._heap)
            if timer.cancelled or timer.called:
                continue
            if timer.getTime() > at:
                # `DelayedCall` does not report that a timer was delayed.
                self._push(timer)
                continue
            self._now = at
            timer.called = 1
            timer.func(*timer.args)
        self._now = end

    def _push(self, timer: DelayedCall) -> None:
        self._sequence += 1
        heapq.heappush(self._heap, (timer.getTime(), self._sequence, timer))
