"""The coverage of an answer."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Coverage:
    """Count the shards that answered and the shards of the pinned map.

    >>> Coverage(3, 4).share
    0.75
    """

    answered: int
    shards: int

    @property
    def share(self) -> float:
        """The share of the pinned shards that answered; 0 for an empty map."""
        return self.answered / self.shards if self.shards else 0.0

    @property
    def is_complete(self) -> bool:
        """Whether every pinned shard answered."""
        return self.shards > 0 and self.answered == self.shards
