"""The budget of extra load: hedges and retries as a share of first sends."""

import math
from collections import deque

WINDOW_S = 10.0  # seconds
SLOT_S = 1.0  # seconds


class ExtraBudget:
    """Hold extra sends under a share of first sends in a sliding window.

    Both counts are kept for slots of a second. An extra send is allowed only when the
    window's extra sends, with it, stay within the share, so a slow fleet can't be
    made slower by hedging. `allowance` is a number of extra sends in each window that
    is allowed besides; a window lasts `window_s` seconds. A slot that is partly older
    than the window counts with its extra sends, and not with its first sends.

    >>> budget = ExtraBudget(0.05)
    >>> budget.add_sends(20, 0.0)
    >>> budget.take(0.0), budget.take(0.0)
    (True, False)
    """

    def __init__(
        self, share: float, allowance: float = 0.0, window_s: float = WINDOW_S
    ) -> None:
        self.share = share
        self.allowance = allowance
        self.window_s = window_s
        self._sends = _SlotCounts()
        self._extras = _SlotCounts()

    def add_sends(self, count: int, now: float) -> None:
        """Count first sends."""
        self._drop_old(now)
        self._sends.add(count, math.floor(now / SLOT_S))

    def try_spend(self, now: float) -> bool:
        """Count one extra send if the share allows it; return whether it does."""
        self._drop_old(now)
        if self._extras.total + 1 > self.share * self._sends.total + self.allowance:
            return False
        self._extras.add(1, math.floor(now / SLOT_S))
        return True

    def spent_share(self, now: float) -> float:
        """Return the share that the window has spent."""
        self._drop_old(now)
        return self._extras.total / self._sends.total if self._sends.total else 0.0

    def _drop_old(self, now: float) -> None:
        begun_in = math.floor((now - self.window_s) / SLOT_S)
        self._sends.drop_before(begun_in + 1)
        self._extras.drop_before(begun_in)


class _SlotCounts:
    """Count by slots and keep the total of those that were not dropped."""

    __slots__ = ("total", "_slots")

    def __init__(self) -> None:
        self.total = 0
        self._slots: deque[tuple[int, int]] = deque()

    def add(self, count: int, slot: int) -> None:
        """Count in a slot; slots come in their order."""
        if self._slots and self._slots[-1][0] == slot:
            count_before = self._slots.pop()[1]
        else:
            count_before = 0
        self._slots.append((slot, count_before + count))
        self.total += count

    def drop_before(self, slot: int) -> None:
        """Drop the slots before one."""
        while self._slots and self._slots[0][0] < slot:
            self.total -= self._slots.popleft()[1]
