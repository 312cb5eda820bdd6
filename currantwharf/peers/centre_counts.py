"""How many instances the other data centres have, by hearsay."""

from collections.abc import Iterable

from currantwharf.peers.hello import InstanceCount

COUNT_TTL_S = 30.0  # seconds for which an instance or a count that was heard of counts


class InstanceCounts:
    """Keep the freshest count that was told of each data centre.

    Each instance counts its own data centre and passes the others' counts on, so a
    hello says how large the fleet is in a few bytes for each data centre.
    """

    def __init__(self) -> None:
        self._counts: dict[str, tuple[int, float]] = {}

    def record_hello(self, told: Iterable[InstanceCount], now: float) -> None:
        """Take counts of a hello; older ones than those known change nothing."""
        for count in told:
            counted_at = now - max(0.0, count.age_s)
            known = self._counts.get(count.data_centre)
            if known is None or known[1] <= counted_at:
                self._counts[count.data_centre] = (count.instances, counted_at)

    def count(self, data_centre: str, now: float) -> int:
        """Return the instances of a data centre, 0 if nothing fresh was told.

        >>> counts = InstanceCounts()
        >>> counts.record_hello([InstanceCount("a", 14, 1.0)], 10.0)
        >>> counts.count("a", 10.0), counts.count("a", 50.0)
        (14, 0)
        """
        instances, counted_at = self._counts.get(data_centre, (0, now))
        return instances if now - counted_at <= COUNT_TTL_S else 0

    def names(self, now: float) -> set[str]:
        """Return the data centres of which a fresh count was told."""
        return {name for name in self._counts if self.count(name, now)}

    def member_summaries(self, without: str, now: float) -> tuple[InstanceCount, ...]:
        """Return the fresh counts of all data centres but one, to be told."""
        return tuple(
            InstanceCount(name, instances, round(now - counted_at, 1))
            for name, (instances, counted_at) in self._counts.items()
            if name != without and self.count(name, now)
        )
