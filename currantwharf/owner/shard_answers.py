"""Turn the result of a backend call into an answer for each shard request in it."""

from currantwharf.owner.call_result import (
    BackendAnswer,
    BackendItem,
    CallFailed,
    CallResult,
    ItemOutcome,
)
from currantwharf.wire import Outcome, Reason, ShardAnswer, ShardRequest

NOT_RUN_REASONS: dict[ItemOutcome, Reason] = {
    ItemOutcome.SHED: Reason.SERVER_SHED,
    ItemOutcome.LEAVING: Reason.SERVER_LEAVING,
    ItemOutcome.VERSION_GONE: Reason.VERSION_GONE,
    ItemOutcome.SHARD_MOVED: Reason.SHARD_MOVED,
    ItemOutcome.EXPIRED: Reason.DEADLINE,
}
UNKNOWN_REASONS: dict[ItemOutcome, Reason] = {
    ItemOutcome.FAILED: Reason.SERVER_FAILED,
    ItemOutcome.CANCELLED: Reason.CANCELLED,
}


def build_answers(
    requests: tuple[ShardRequest, ...], result: CallResult, queue: int
) -> list[ShardAnswer]:
    """Return one answer for each request, whatever the server sent back.

    An item counts only when its query, attempt, shard and index version are those of
    a request; a request without such an item has an unknown outcome.
    """
    if isinstance(result, CallFailed):
        return [_failed(request, result, queue) for request in requests]
    items = {(item.query, item.attempt): item for item in result.items}
    return [
        _answer(request, items.get((request.query, request.attempt)), result, queue)
        for request in requests
    ]


def build_refusal(request: ShardRequest, reason: Reason, queue: int = 0) -> ShardAnswer:
    """Return the answer for a request that was never sent to its server."""
    return unanswered(request, Outcome.NOT_RUN, reason, queue)


def _failed(request: ShardRequest, failed: CallFailed, queue: int) -> ShardAnswer:
    if not failed.sent:
        return unanswered(request, Outcome.NOT_RUN, Reason.SERVER_LOST, queue)
    reason = Reason.DEADLINE if failed.timed_out else Reason.SERVER_LOST
    return unanswered(request, Outcome.UNKNOWN, reason, queue)


def _answer(
    request: ShardRequest, item: BackendItem | None, result: BackendAnswer, queue: int
) -> ShardAnswer:
    if item is None or item.shard != request.shard:
        return unanswered(request, Outcome.UNKNOWN, Reason.BAD_ANSWER, queue)
    if item.outcome in NOT_RUN_REASONS:
        reason = NOT_RUN_REASONS[item.outcome]
        return unanswered(request, Outcome.NOT_RUN, reason, queue)
    if item.outcome in UNKNOWN_REASONS:
        reason = UNKNOWN_REASONS[item.outcome]
        return unanswered(request, Outcome.UNKNOWN, reason, queue)
    if item.index_version != request.index_version:
        return unanswered(request, Outcome.UNKNOWN, Reason.BAD_ANSWER, queue)
    return ShardAnswer(
        request.query,
        request.attempt,
        request.shard,
        request.server,
        request.index_version,
        Outcome.ANSWERED,
        Reason.NONE,
        item.hits,
        result.service_ms,
        queue,
    )


def unanswered(
    request: ShardRequest, outcome: Outcome, reason: Reason, queue: int = 0
) -> ShardAnswer:
    """Return an answer without hits that belongs to `request`."""
    return ShardAnswer(
        request.query,
        request.attempt,
        request.shard,
        request.server,
        request.index_version,
        outcome,
        reason,
        queue=queue,
    )
