"""Instance counts of the other data centres, as reported by gossip."""

from collections.abc import Iterable

from currantwharf.peers.hello import InstanceCount

COUNT_TTL_S = 30.0  # lifetime of a reported count, and of an instance in the counts


class InstanceCounts:
    """Most recent instance count of each data centre.

    Each instance counts its own data centre and passes on the counts of the others,
    so a hello conveys the size of the fleet in a few bytes per data centre.
    """

    def __init__(self) -> None:
        self._counts: dict[str, tuple[int, float]] = {}

    def record(self, counts: Iterable[InstanceCount], now: float) -> None:
        """Record the counts of a hello; ignore those older than the stored ones."""
        for count in counts:
            counted_at = now - max(0.0, count.age_s)
            known = self._counts.get(count.data_centre)
            if known is None or known[1] <= counted_at:
                self._counts[count.data_centre] = (count.instances, counted_at)

    def get_count(self, data_centre: str, now: float) -> int:
        """Return the instance count of a data centre, 0 if none is recent.

        >>> counts = InstanceCounts()
        >>> counts.record([InstanceCount("a", 14, 1.0)], 10.0)
        >>> counts.get_count("a", 10.0), counts.get_count("a", 50.0)
        (14, 0)
        """
        instances, counted_at = self._counts.get(data_centre, (0, now))
        return instances if now - counted_at <= COUNT_TTL_S else 0

    def list_data_centres(self, now: float) -> set[str]:
        """Return the data centres that have a recent count."""
        return {name for name in self._counts if self.get_count(name, now)}

    def list_recent_counts(
        self, excluded: str, now: float
    ) -> tuple[InstanceCount, ...]:
        """Return the recent counts of all data centres except `excluded`."""
        return tuple(
            InstanceCount(name, instances, round(now - counted_at, 1))
            for name, (instances, counted_at) in self._counts.items()
            if name != excluded and self.get_count(name, now)
        )
