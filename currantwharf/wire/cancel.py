"""The cancellation of a shard request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Cancel:
    """Withdraw one shard request, because its answer is no longer needed."""

    query: str
    attempt: int
    server: str
