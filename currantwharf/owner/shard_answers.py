"""Conversion of the result of a backend call into one answer per shard request."""

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
    """Return one answer for each request, for any result of the call.

    An item is accepted only if its query, attempt and shard match a request; an answer
    must have the index version of the request as well. A request without an accepted
    item has an unknown outcome.
    """
    if isinstance(result, CallFailed):
        return [_build_call_failure(request, result, queue) for request in requests]
    items = {(item.query, item.attempt): item for item in result.items}
    return [
        _build_answer(
            request, items.get((request.query, request.attempt)), result, queue
        )
        for request in requests
    ]


def build_refusal(request: ShardRequest, reason: Reason, queue: int = 0) -> ShardAnswer:
    """Return the answer to a request that was not sent to its server."""
    return build_failure(request, Outcome.NOT_RUN, reason, queue)


def _build_call_failure(
    request: ShardRequest, failed: CallFailed, queue: int
) -> ShardAnswer:
    if not failed.sent:
        return build_failure(request, Outcome.NOT_RUN, Reason.SERVER_LOST, queue)
    reason = Reason.DEADLINE if failed.timed_out else Reason.SERVER_LOST
    return build_failure(request, Outcome.UNKNOWN, reason, queue)


def _build_answer(
    request: ShardRequest, item: BackendItem | None, result: BackendAnswer, queue: int
) -> ShardAnswer:
    if item is None or item.shard != request.shard:
        return build_failure(request, Outcome.UNKNOWN, Reason.BAD_ANSWER, queue)
    if item.outcome in NOT_RUN_REASONS:
        reason = NOT_RUN_REASONS[item.outcome]
        return build_failure(request, Outcome.NOT_RUN, reason, queue)
    if item.outcome in UNKNOWN_REASONS:
        reason = UNKNOWN_REASONS[item.outcome]
        return build_failure(request, Outcome.UNKNOWN, reason, queue)
    if item.index_version != request.index_version:
        return build_failure(request, Outcome.UNKNOWN, Reason.BAD_ANSWER, queue)
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


def build_failure(
    request: ShardRequest, outcome: Outcome, reason: Reason, queue: int = 0
) -> ShardAnswer:
    """Return an answer to `request` without hits."""
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
