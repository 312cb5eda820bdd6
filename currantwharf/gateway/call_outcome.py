"""Derivation of a call's outcome from the answers and failures of its parts."""

from currantwharf.gateway.attempt_result import AttemptResult
from currantwharf.gateway.backend_answer import BackendAnswer, Verdict
from currantwharf.gateway.call_result import CallOutcome, CallReason
from currantwharf.gateway.part_call import PartCall
from currantwharf.http1 import ConnectionFailure

ResolvedCall = tuple[CallOutcome, CallReason, tuple[BackendAnswer, ...]]


def resolve_query(
    parts: list[PartCall], last_reason: CallReason, has_min_coverage: bool
) -> ResolvedCall:
    """Return the outcome of a query over shards."""
    answers = tuple(part.answer for part in parts if part.answer is not None)
    if answers and has_min_coverage:
        return CallOutcome.ANSWERED, CallReason.NONE, answers
    if not any(part.possible_runs > 0 or part.answer for part in parts):
        return CallOutcome.NOT_RUN, last_reason, ()
    return CallOutcome.TIMED_OUT, CallReason.COVERAGE_TOO_LOW, ()


def resolve_service_call(
    parts: list[PartCall], last_reason: CallReason, has_min_coverage: bool
) -> ResolvedCall:
    """Return the outcome of a request to one service, which has a single part."""
    (part,) = parts
    answer = part.answer or part.failed_answer
    if answer is not None:
        return CallOutcome.ANSWERED, CallReason.NONE, (answer,)
    if part.possible_runs <= 0:
        return CallOutcome.NOT_RUN, last_reason, ()
    if part.attempts:
        return CallOutcome.TIMED_OUT, CallReason.TIMEOUT, ()
    return CallOutcome.UNKNOWN, last_reason, ()


def did_not_run(result: AttemptResult) -> bool:
    """Return whether an attempt's result proves that the server did not run it."""
    if isinstance(result, ConnectionFailure):
        return not result.may_have_been_sent
    return result.verdict in (Verdict.REJECTED, Verdict.MISDIRECTED)


def get_failure_reason(answer: BackendAnswer) -> CallReason:
    """Return the call's reason for failure if no better answer arrives."""
    if answer.verdict is Verdict.REJECTED:
        return CallReason.OVERLOADED
    if answer.verdict is Verdict.MISDIRECTED:
        return CallReason.NO_SERVER
    return CallReason.SERVER_FAILED
