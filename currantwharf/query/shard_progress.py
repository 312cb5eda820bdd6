"""How far one shard of a query has come."""

from dataclasses import dataclass, field

from currantwharf.wire import Hit


@dataclass(slots=True)
class Attempt:
    """Hold one request to one replica, sent at `sent_at` on the monotonic clock."""

    server: str
    owner: str
    sent_at: float


@dataclass(slots=True)
class ShardProgress:
    """Hold the attempts of a shard, the replicas tried and its hits once answered.

    `retry_at` is when the shard may be tried again after all its attempts ended.
    """

    servers: tuple[str, ...]
    attempts: dict[int, Attempt] = field(default_factory=dict)
    tried: set[str] = field(default_factory=set)
    sends: int = 0
    hedged: bool = False
    retry_at: float | None = None
    retry_is_extra: bool = False
    hits: tuple[Hit, ...] | None = None
