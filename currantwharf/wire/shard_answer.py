"""The answer of a backend server to a shard request, sent by the server's owner."""

from dataclasses import dataclass

from currantwharf.wire.hit import Hit
from currantwharf.wire.outcome import Outcome
from currantwharf.wire.reason import Reason


@dataclass(frozen=True, slots=True)
class ShardAnswer:
    """The answer to one shard request.

    `service_ms` is the time in milliseconds that the backend server took. `queue` is
    the number of requests that wait for that server at its owner; the entry instance
    uses it to choose among replicas.
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
