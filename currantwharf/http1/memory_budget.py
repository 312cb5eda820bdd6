"""Bound on the bytes that all connections of a process hold at a time.

The load: a few servers or callers send messages without end. They fill the budget, and
the other connections must not pay for that.
"""

from collections.abc import Callable
from typing import Protocol

from currantwharf.runtime.component_log import component_logger

# A fifth of the memory of the smallest instances, which have 160 MB.
MAX_BUFFERED_BYTES = 32_000_000

log = component_logger("memory")


class Holder(Protocol):
    """A message that is being received."""

    held: int

    def evict(self) -> None:
        """Give the message up and release its bytes."""


class MemoryBudget:
    """Count of the bytes held, with an upper bound.

    Once it is reached, the largest of the messages that are being received gives way,
    and `on_eviction` is called. A holder has the attribute `held`, its bytes, and a
    method `evict` that releases them.

    >>> budget = MemoryBudget(10)
    >>> budget.try_reserve(8), budget.try_reserve(3)
    (True, False)
    >>> budget.release(8)
    >>> budget.try_reserve(3)
    True
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used = 0
        self.on_eviction: Callable[[], None] = lambda: None
        self._holders: set[Holder] = set()

    def try_reserve(self, count: int) -> bool:
        """Reserve `count` bytes; return False if too few are left."""
        if self.used + count > self.max_bytes:
            return False
        self.used += count
        return True

    def release(self, count: int) -> None:
        """Release bytes that were reserved."""
        self.used -= count

    def reserve_for(self, holder: Holder, count: int) -> bool:
        """Reserve bytes for a holder, which is to add them to its `held`.

        Holders that have more than it then would give way to it. Returns False if there
        are none, so that it is itself the one to give way.
        """
        while not self.try_reserve(count):
            largest = max(self._holders, key=lambda other: other.held, default=holder)
            is_smaller = largest.held <= holder.held + count
            fields = {"held": self.used, "message_bytes": holder.held + count}
            if not is_smaller:
                fields["message_bytes"] = largest.held
            log.warning(
                "too many bytes are held; the largest message goes", extra=fields
            )
            self.on_eviction()
            if is_smaller:
                return False
            self._holders.discard(largest)
            largest.evict()
        self._holders.add(holder)
        return True

    def release_for(self, holder: Holder) -> None:
        """Release all that a holder has reserved."""
        self._holders.discard(holder)
        self.release(holder.held)


# The budget that all connections of this process share.
PROCESS_BUDGET = MemoryBudget(MAX_BUFFERED_BYTES)
