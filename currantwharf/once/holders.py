"""The holders of a request id: the instances that record the claims on it.

The holders are the instances of the platform's list that rank highest for the id in
rendezvous hashing. Suspicions are ignored, so a partition does not change the
holders. A change of the list does. An instance that becomes a holder by such a change
waits before it grants anything, so that a majority of the old holders and a majority
of the new ones can't both grant.
"""

from collections import deque

from currantwharf.fleet import InstanceList, top

HOLDER_COUNT = 3  # holders of each request id
MAJORITY = 2  # grants needed for a claim
# How long a new holder waits before it grants claims. All instances have adopted the
# same list by then.
HOLDER_SETTLE_S = 5.0
CLAIM_RETENTION_S = 120.0


class HolderHistory:
    """Recent instance lists; they show since when this instance is a holder of an id.

    Times are Unix times in seconds, because they are compared with those of callers.
    """

    def __init__(self, instance: str, started_at: float) -> None:
        self.instance = instance
        self._started_at = started_at
        self._lists: deque[tuple[float, tuple[str, ...]]] = deque()

    def adopt_list(self, instance_list: InstanceList, unix_time: float) -> None:
        """Record a newly adopted list and drop those that are out of date."""
        names = tuple(sorted(instance_list.instances))
        if not self._lists or self._lists[-1][1] != names:
            self._lists.append((unix_time, names))
        while (
            len(self._lists) > 1
            and self._lists[1][0] < unix_time - 2 * CLAIM_RETENTION_S
        ):
            self._lists.popleft()

    def find_holders(self, request_id: str) -> tuple[str, ...]:
        """Return the holders of a request id according to the newest list."""
        if not self._lists:
            return ()
        return top(request_id, self._lists[-1][1], HOLDER_COUNT)

    def get_held_since(self, request_id: str) -> float | None:
        """Return since when this instance has been a holder of the id without a break.

        None means that it is not a holder now.
        """
        held_since = None
        for adopted_at, names in reversed(self._lists):
            if self.instance not in top(request_id, names, HOLDER_COUNT):
                break
            held_since = max(adopted_at, self._started_at)
        return held_since
