"""When an instance polls the store for changes that no watch has delivered."""

import random

# Longest interval, as a share of the mean one. The intervals of three instances that
# are the only ones in their data centres stay below the time in which a change must
# be in force.
MAX_INTERVAL_RATIO = 1.1


class SpotCheckSchedule:
    """Schedule of one instance's share of the spot checks of the whole fleet.

    The instances take turns without talking to each other: each checks at nearly
    regular intervals, from a random start. The union of regular intervals has shorter
    gaps than random draws, and a fleet of one instance has none longer than its
    interval. The rate adapts at once when the fleet or the wanted interval changes.

    >>> schedule = SpotCheckSchedule(random.Random(1), 0.0)
    >>> sum(schedule.is_due(4, 1.0, now / 10) for now in range(1, 401))
    10
    """

    def __init__(self, rng: random.Random, now: float) -> None:
        self._rng = rng
        self._advanced_at = now
        self._remaining = rng.random()

    def is_due(self, fleet_size: int, interval_s: float, now: float) -> bool:
        """Return whether to check now.

        All instances together make one check in `interval_s` seconds.
        """
        self._remaining -= (now - self._advanced_at) / (interval_s * fleet_size)
        self._advanced_at = now
        if self._remaining > 0.0:
            return False
        self._remaining = self._rng.uniform(2 - MAX_INTERVAL_RATIO, MAX_INTERVAL_RATIO)
        return True
