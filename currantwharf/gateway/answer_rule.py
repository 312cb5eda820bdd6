"""When a query is answered although parts are missing."""

from currantwharf.gateway.route import Route
from currantwharf.policy.coverage import Coverage

LATE_PATIENCE = 0.5  # of the target that a late answer waits for its last parts
AT_TARGET_S = 0.01  # seconds after the target in which an answer still counts as timely


class AnswerRule:
    """Weigh the parts that are there against the time.

    `target_at` is when an answer has to leave, a reading of the monotonic clock in
    seconds; `shards` is the number of parts.
    """

    __slots__ = ("_least", "_target_at", "_shards", "late_at")

    def __init__(self, route: Route, target_at: float, shards: int) -> None:
        self._least = route.least_coverage
        self._target_at = target_at
        self._shards = shards
        self.late_at = target_at + LATE_PATIENCE * route.target_s

    def is_enough(self, answered: int) -> bool:
        """Return whether the coverage suffices for an answer."""
        return Coverage(answered, self._shards).share >= self._least

    def may_answer(self, answered: int, now: float) -> bool:
        """Return whether what is there may be answered although parts are missing.

        Just before the target an incomplete answer is worth more than a late one;
        after it the last parts are waited for a while.
        """
        if not answered or not self.is_enough(answered):
            return False
        is_timely = self._target_at <= now < self._target_at + AT_TARGET_S
        return is_timely or now >= self.late_at

    def is_hopeless(self, answered: int, still_open: int) -> bool:
        """Return whether no answer that may still come makes the coverage suffice."""
        return not still_open or not self.is_enough(answered + still_open)
