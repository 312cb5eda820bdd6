"""What a running request asks its task to do."""

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
    """Send a claim, or the result of one, to a holder of a request id."""

    holder: str
    message: Claim | ClaimResult


@dataclass(frozen=True, slots=True)
class Finish:
    """Answer the caller; nothing more is done for the request."""

    result: QueryResult


QueryAction = SendToOwner | SendToHolder | Finish
