"""What came of one call to a backend server."""

from dataclasses import dataclass
from enum import StrEnum

from currantwharf.wire import Hit


class ItemOutcome(StrEnum):
    """What a backend server says of one shard request."""

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
    """Hold a backend server's answer to one shard request."""

    query: str
    attempt: int
    shard: str
    index_version: str
    outcome: ItemOutcome
    hits: tuple[Hit, ...] = ()


@dataclass(frozen=True, slots=True)
class BackendAnswer:
    """Hold a backend server's answer to one call."""

    boot_id: str
    items: tuple[BackendItem, ...]
    service_ms: float = 0.0
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class CallFailed:
    """Tell that a call brought no answer.

    With `sent` false no byte of the request left, which proves that it did not run.
    `silent` marks a call that was given up because its connection had gone silent
    while others to the same server answered.
    """

    sent: bool
    timed_out: bool = False
    silent: bool = False


CallResult = BackendAnswer | CallFailed
