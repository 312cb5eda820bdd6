"""The progress of one shard of a query."""

from dataclasses import dataclass, field

from currantwharf.wire import Hit


@dataclass(slots=True)
class Attempt:
    """One request to one replica, sent at `sent_at` (monotonic clock, seconds)."""

    server: str
    owner: str
    sent_at: float


@dataclass(slots=True)
class ShardProgress:
    """The outstanding attempts of a shard, the replicas tried and the hits received.

    `hits` is None until the shard has answered. `retry_at` is the time at which the
    shard may be retried after all its attempts have failed; `retry_is_extra` is true
    if that retry counts as extra load.
    """

    servers: tuple[str, ...]
    attempts: dict[int, Attempt] = field(default_factory=dict)
    tried: set[str] = field(default_factory=set)
    sends: int = 0
    hedged: bool = False
    retry_at: float | None = None
    retry_is_extra: bool = False
    hits: tuple[Hit, ...] | None = None
