"""Count of the bytes of one message while it is received."""

from collections.abc import Callable

from currantwharf.http1.memory_budget import MemoryBudget

# A chunk that holds one byte takes six bytes on the wire, and a few more if its size
# has leading zeros.
MAX_FRAMING_BYTES_PER_BODY_BYTE = 8


class ReceiveMeter:
    """Meter of the bytes received for one message, reserved from a memory budget.

    A parser reports a header only when its line is complete, and says nothing of blank
    lines, chunk extensions and trailers. So bytes are counted as they arrive. Those
    that are not part of the body are the message's framing, which has a bound of its
    own. `held` is the number of bytes received, and `evict` gives the message up.
    """

    __slots__ = ("evict", "held", "_budget", "_body")

    def __init__(self, budget: MemoryBudget, on_evicted: Callable[[], None]) -> None:
        self.evict = on_evicted
        self.held = 0
        self._budget = budget
        self._body = 0

    def add(self, count: int) -> bool:
        """Count received bytes; return False if the budget has too few left."""
        if not self._budget.reserve_for(self, count):
            return False
        self.held += count
        return True

    def add_body(self, count: int) -> None:
        """Count bytes that belong to the body."""
        self._body += count

    def exceeds(self, max_framing_bytes: int) -> bool:
        """Return whether the framing is longer than its bound."""
        allowed = max_framing_bytes + MAX_FRAMING_BYTES_PER_BODY_BYTE * self._body
        return self.held - self._body > allowed

    def reset(self) -> None:
        """Release the bytes, since their message is complete or dropped."""
        self._budget.release_for(self)
        self.held = self._body = 0
