"""What the answers and failures of a call's parts come to."""

from currantwharf.gateway.attempt_result import AttemptResult
from currantwharf.gateway.backend_answer import BackendAnswer, Verdict
from currantwharf.gateway.call_result import CallOutcome, CallReason
from currantwharf.gateway.part_call import PartCall
from currantwharf.http1 import ConnectionFailure

CallEnd = tuple[CallOutcome, CallReason, tuple[BackendAnswer, ...]]


def merged_result(
    parts: list[PartCall], last_reason: CallReason, is_enough: bool
) -> CallEnd:
    """Return the end of a query; `is_enough` tells whether its coverage suffices."""
    answers = tuple(part.answer for part in parts if part.answer is not None)
    if answers and is_enough:
        return CallOutcome.ANSWERED, CallReason.NONE, answers
    if not any(part.ran_on > 0 or part.answer for part in parts):
        return CallOutcome.NOT_RUN, last_reason, ()
    return CallOutcome.TIMED_OUT, CallReason.COVERAGE_TOO_LOW, ()


def relayed_result(
    parts: list[PartCall], last_reason: CallReason, is_enough: bool
) -> CallEnd:
    """Return the end of a request to one service, which has a single part."""
    (part,) = parts
    answer = part.answer or part.failure
    if answer is not None:
        return CallOutcome.ANSWERED, CallReason.NONE, (answer,)
    if part.ran_on <= 0:
        return CallOutcome.NOT_RUN, last_reason, ()
    if part.attempts:
        return CallOutcome.TIMED_OUT, CallReason.TIMEOUT, ()
    return CallOutcome.UNKNOWN, last_reason, ()


def did_not_run(result: AttemptResult) -> bool:
    """Return whether the result of an attempt proves that it did not run."""
    if isinstance(result, ConnectionFailure):
        return not result.may_have_been_sent
    return result.verdict in (Verdict.REJECTED, Verdict.MISDIRECTED)


def reason_of(answer: BackendAnswer) -> CallReason:
    """Return why a call fails if no better answer comes."""
    if answer.verdict is Verdict.REJECTED:
        return CallReason.OVERLOADED
    if answer.verdict is Verdict.MISDIRECTED:
        return CallReason.NO_SERVER
    return CallReason.SERVER_FAILED
