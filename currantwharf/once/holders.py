"""The holders of a request id: the instances whose memory keeps it to one run.

The holders are the instances that rendezvous-rank highest for the id over the
platform's list. Suspicions play no part, so a partition does not change them. A
change of the list does, and an instance that has become a holder by it waits before
it grants anything, so that the majority of the old holders and that of the new ones
can't both grant.
"""

from collections import deque

from currantwharf.fleet import InstanceList, top

HOLDERS = 3  # instances that keep an id
MAJORITY = 2  # grants that are needed
SETTLE_S = 5.0  # seconds a new holder waits; lists agree among instances by then
RETENTION_S = 120.0  # seconds for which a claim is kept


class HolderHistory:
    """Remember the lists of late, to tell since when this instance holds an id.

    Times are Unix times in seconds, since they are compared with a caller's.
    """

    def __init__(self, instance: str, started_at: float) -> None:
        self.instance = instance
        self._started_at = started_at
        self._lists: deque[tuple[float, tuple[str, ...]]] = deque()

    def adopt_list(self, listed: InstanceList, wall: float) -> None:
        """Note a newly adopted list."""
        names = tuple(sorted(listed.instances))
        if not self._lists or self._lists[-1][1] != names:
            self._lists.append((wall, names))
        while len(self._lists) > 1 and self._lists[1][0] < wall - 2 * RETENTION_S:
            self._lists.popleft()

    def find_holders(self, request_id: str) -> tuple[str, ...]:
        """Return the holders of an id under the newest list."""
        if not self._lists:
            return ()
        return top(request_id, self._lists[-1][1], HOLDERS)

    def holder_since(self, request_id: str) -> float | None:
        """Return since when this instance has held the id without a break."""
        since = None
        for adopted_at, names in reversed(self._lists):
            if self.instance not in top(request_id, names, HOLDERS):
                break
            since = max(adopted_at, self._started_at)
        return since
