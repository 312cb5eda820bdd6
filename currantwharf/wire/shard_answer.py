"""The answer to a shard request."""

from dataclasses import dataclass

from currantwharf.wire.hit import Hit
from currantwharf.wire.outcome import Outcome
from currantwharf.wire.reason import Reason


@dataclass(frozen=True, slots=True)
class ShardAnswer:
    """Answer one shard request.

    `service_ms` is the time that the backend server took in milliseconds, and
    `queue` the number of requests waiting at the owner for that server, which the
    entry instance uses to choose among replicas.
    """

    query: str
    attempt: int
    shard: str
    server: str
    index_version: str
    outcome: Outcome
    reason: Reason = Reason.NONE
    hits: tuple[Hit, ...] = ()
    service_ms: float = 0.0
    queue: int = 0
