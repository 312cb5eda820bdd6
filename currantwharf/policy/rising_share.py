"""A share of a budget that may fall at once, and rise only after a whole window."""

from collections import deque


class RisingShare:
    """The smallest share that was due at any time in the last window.

    A budget counts over a window, but a process that has just started does not know
    what its predecessor spent in it, and one whose share grows does not know what those
    spent that had the rest. If the shares that are due add up to 1 at each time, the
    budget is kept in each window: what an instance spends in a window is no more than
    the share that was due to it, or to its predecessor, when the window began.

    >>> share = RisingShare(now=0.0)
    >>> share.update(0.25, 10.0, 1.0), share.update(0.25, 10.0, 10.9)
    (0.0, 0.0)
    >>> share.update(0.25, 10.0, 11.0), share.update(0.1, 10.0, 12.0)
    (0.25, 0.1)
    >>> share.update(0.5, 10.0, 21.0), share.update(0.5, 10.0, 31.0)
    (0.1, 0.5)
    """

    def __init__(self, now: float) -> None:
        self._steps = deque([(now, 0.0)])

    def update(self, due: float, window_s: float, now: float) -> float:
        """Record the share that is due from now on; return the one to be used."""
        if due != self._steps[-1][1]:
            self._steps.append((now, due))
        while len(self._steps) > 1 and self._steps[1][0] <= now - window_s:
            self._steps.popleft()
        return min(share for _, share in self._steps)
