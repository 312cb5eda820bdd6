"""The rule for answering a query whose parts have not all been answered."""

from currantwharf.gateway.route import Route
from currantwharf.policy.coverage import Coverage

LATE_WAIT_FACTOR = 0.5  # times the target; how long a late answer waits for more parts
TARGET_TOLERANCE_S = 0.01  # up to this long after the target, an answer is in time


class AnswerRule:
    """Weighs the coverage that a query has reached against the time.

    `target_at` is when an answer has to leave, in seconds of the monotonic clock;
    `shards` is the number of parts. From `late_at` on, a late answer no longer waits
    for missing parts.
    """

    __slots__ = ("_min_coverage", "_target_at", "_shards", "late_at")

    def __init__(self, route: Route, target_at: float, shards: int) -> None:
        self._min_coverage = route.least_coverage
        self._target_at = target_at
        self._shards = shards
        self.late_at = target_at + LATE_WAIT_FACTOR * route.target_s

    def has_min_coverage(self, answered: int) -> bool:
        """Return whether this many answered parts suffice for an answer."""
        return Coverage(answered, self._shards).share >= self._min_coverage

    def can_answer(self, answered: int, now: float) -> bool:
        """Return whether an answer without the missing parts may be sent now.

        At the target an incomplete answer is worth more than a late one. Once the
        target is missed, the query waits until `late_at` for the remaining parts.
        """
        if not answered or not self.has_min_coverage(answered):
            return False
        is_in_time = self._target_at <= now < self._target_at + TARGET_TOLERANCE_S
        return is_in_time or now >= self.late_at

    def is_coverage_unreachable(self, answered: int, pending: int) -> bool:
        """Return whether the pending parts can no longer raise the coverage enough."""
        return not pending or not self.has_min_coverage(answered + pending)
