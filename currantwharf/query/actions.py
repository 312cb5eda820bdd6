"""Actions that a running request returns to the task that drives it."""

from dataclasses import dataclass

from currantwharf.query.query_result import QueryResult
from currantwharf.wire import Cancel, Claim, ClaimResult, ShardRequest


@dataclass(frozen=True, slots=True)
class SendToOwner:
    """Send a shard request, or its cancellation, to the owner of a server."""

    owner: str
    message: ShardRequest | Cancel


@dataclass(frozen=True, slots=True)
class SendToHolder:
    """Send a claim, or the result of a claim, to a holder of the request id."""

    holder: str
    message: Claim | ClaimResult


@dataclass(frozen=True, slots=True)
class Finish:
    """Answer the caller; the request is complete."""

    result: QueryResult


QueryAction = SendToOwner | SendToHolder | Finish
