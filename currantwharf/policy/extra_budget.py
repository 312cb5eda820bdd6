"""The budget of extra load: hedges and retries as a share of first sends."""

from collections import deque

WINDOW_S = 10.0  # seconds
SLOT_S = 1.0  # seconds


class ExtraBudget:
    """Hold extra sends under a share of first sends in a sliding window.

    Both counts are kept for slots of a second. An extra send is allowed only when the
    window's extra sends, with it, stay within the share, so a slow fleet can't be
    made slower by hedging. `allowance` is a number of extra sends in each window that
    is allowed besides; a window lasts `window_s` seconds.

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
        self._window_s = window_s
        self._slots: deque[tuple[int, int, int]] = deque()
        self._sends = 0
        self._extras = 0

    def add_sends(self, count: int, now: float) -> None:
        """Count first sends."""
        self._add(count, 0, now)

    def take(self, now: float) -> bool:
        """Count one extra send if the share allows it; return whether it does."""
        self._drop_old(now)
        if self._extras + 1 > self.share * self._sends + self.allowance:
            return False
        self._add(0, 1, now)
        return True

    def spent(self, now: float) -> float:
        """Return the share that the window has spent."""
        self._drop_old(now)
        return self._extras / self._sends if self._sends else 0.0

    def _add(self, sends: int, extras: int, now: float) -> None:
        self._drop_old(now)
        slot = int(now / SLOT_S)
        if self._slots and self._slots[-1][0] == slot:
            _, old_sends, old_extras = self._slots.pop()
        else:
            old_sends = old_extras = 0
        self._slots.append((slot, old_sends + sends, old_extras + extras))
        self._sends += sends
        self._extras += extras

    def _drop_old(self, now: float) -> None:
        oldest = int((now - self._window_s) / SLOT_S)
        while self._slots and self._slots[0][0] <= oldest:
            _, sends, extras = self._slots.popleft()
            self._sends -= sends
            self._extras -= extras
