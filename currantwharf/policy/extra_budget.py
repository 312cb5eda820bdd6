"""Budget of extra load: hedges and retries as a share of first sends."""

import math
from collections import deque

WINDOW_S = 10.0
SLOT_S = 1.0


class ExtraBudget:
    """Budget that limits extra sends to a share of first sends in a sliding window.

    An extra send is allowed only if the window's extra sends, including it, stay within
    `share` of its first sends plus `allowance`, so hedging can't slow down a slow fleet
    any further. `allowance` is a fixed number of extra sends per window; a window lasts
    `window_s` seconds. Both kinds of sends are counted in slots of a second. Of a slot
    that lies only partly in the window, the extra sends count but not the first sends:
    the error is on the side of fewer extra sends.

    >>> budget = ExtraBudget(0.05)
    >>> budget.add_sends(20, 0.0)
    >>> budget.try_spend(0.0), budget.try_spend(0.0)
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
        """Count `count` first sends."""
        self._drop_old(now)
        self._sends.add(count, math.floor(now / SLOT_S))

    def try_spend(self, now: float) -> bool:
        """Count one extra send if the budget allows it; return whether it does."""
        self._drop_old(now)
        if self._extras.total + 1 > self.share * self._sends.total + self.allowance:
            return False
        self._extras.add(1, math.floor(now / SLOT_S))
        return True

    def spent_share(self, now: float) -> float:
        """Return the extra sends of the window as a share of its first sends."""
        self._drop_old(now)
        return self._extras.total / self._sends.total if self._sends.total else 0.0

    def _drop_old(self, now: float) -> None:
        first_slot = math.floor((now - self.window_s) / SLOT_S)
        self._sends.drop_before(first_slot + 1)
        self._extras.drop_before(first_slot)


class _SlotCounts:
    """Counts by slot, and their total over the slots that have not been dropped."""

    __slots__ = ("total", "_slots")

    def __init__(self) -> None:
        self.total = 0
        self._slots: deque[tuple[int, int]] = deque()

    def add(self, count: int, slot: int) -> None:
        """Add to the count of a slot; slots must come in ascending order."""
        if self._slots and self._slots[-1][0] == slot:
            previous_count = self._slots.pop()[1]
        else:
            previous_count = 0
        self._slots.append((slot, previous_count + count))
        self.total += count

    def drop_before(self, slot: int) -> None:
        """Drop all slots before `slot`."""
        while self._slots and self._slots[0][0] < slot:
            self.total -= self._slots.popleft()[1]
