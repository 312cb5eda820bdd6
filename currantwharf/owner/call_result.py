"""The result of one call to a backend server."""

from dataclasses import dataclass
from enum import StrEnum

from currantwharf.wire import Hit


class ItemOutcome(StrEnum):
    """The outcome of one shard request, as reported by a backend server."""

    ANSWERED = "answered"
    SHED = "shed"
    LEAVING = "leaving"
    VERSION_GONE = "version_gone"
    SHARD_MOVED = "shard_moved"
    FAILED = "failed"
    EXPIRED = "expired"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class BackendItem:
    """The answer of a backend server to one shard request."""

    query: str
    attempt: int
    shard: str
    index_version: str
    outcome: ItemOutcome
    hits: tuple[Hit, ...] = ()


@dataclass(frozen=True, slots=True)
class BackendAnswer:
    """The answer of a backend server to one call.

    `service_ms` is the service time in milliseconds. `leaving` is true if the server
    is shutting down and wants no new requests.
    """

    boot_id: str
    items: tuple[BackendItem, ...]
    service_ms: float = 0.0
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A call that ended without an answer.

    If `sent` is false, no byte of the request was sent, which proves that it did not
    run. `silent` marks a call that was abandoned because its connection was silent
    while other calls to the same server were answered.
    """

    sent: bool
    timed_out: bool = False
    silent: bool = False


CallResult = BackendAnswer | CallFailed
