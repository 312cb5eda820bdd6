"""The cancellation of a shard request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancellation of one shard request whose answer is no longer needed."""

    query: str
    attempt: int
    server: str
