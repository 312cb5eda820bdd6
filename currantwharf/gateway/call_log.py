"""The log of calls that an engineer may have to explain."""

from currantwharf.gateway.attempt_result import AttemptResult
from currantwharf.gateway.backend_answer import BackendAnswer
from currantwharf.gateway.call_result import CallOutcome, CallResult
from currantwharf.gateway.ineligibility import Ineligibility
from currantwharf.gateway.part_call import PartCall
from currantwharf.gateway.running_call import RunningCall
from currantwharf.gateway.server_entry import ServerEntry
from currantwharf.runtime.component_log import component_logger

MAX_MISSING_PARTS = 4  # parts without an answer that one line describes
ROUTINE_CALLS_PER_LINE = 50  # of calls answered in full, in time and without repeats

log = component_logger("call")


class CallLog:
    """Logs each call that was refused, late, answered in part or sent again.

    Of all other calls, one in `ROUTINE_CALLS_PER_LINE` is logged.
    """

    def __init__(self) -> None:
        self._routine_calls = 0

    def on_result(
        self, call: RunningCall, result: CallResult, version: int, now: float
    ) -> None:
        """Log the result of a call, or count it if it is routine."""
        late_s = now - call.request.target_at
        is_routine = (
            result.outcome is CallOutcome.ANSWERED
            and result.coverage.is_complete
            and not result.extras
            and late_s <= 0
        )
        if is_routine:
            self._routine_calls += 1
            if self._routine_calls % ROUTINE_CALLS_PER_LINE:
                return
        missing = [
            _describe_part(part, now) for part in call.parts if part.answer is None
        ]
        log.info(
            result.outcome.value,
            extra={
                "request_id": call.request.request_id,
                "route": call.route.name,
                "config_version": version,
                "reason": result.reason.value,
                "elapsed_ms": _to_ms(now - call.request.arrived_at),
                "target_left_ms": _to_ms(-late_s),
                "deadline_left_ms": _to_ms(call.request.deadline - now),
                "answered": result.coverage.answered,
                "parts": result.coverage.shards,
                "sends": result.sends,
                "extras": result.extras,
                "missing": missing[:MAX_MISSING_PARTS],
            },
        )


def log_failed_attempt(
    call: RunningCall,
    attempt: int,
    entry: ServerEntry,
    result: AttemptResult,
    now: float,
) -> None:
    """Log an attempt that ended without a successful answer."""
    if isinstance(result, BackendAnswer):
        outcome: dict[str, object] = {
            "result": result.verdict.value,
            "status": result.status,
        }
    else:
        outcome = {"result": result.value}
    log.info(
        "attempt failed",
        extra={
            "request_id": call.request.request_id,
            "route": call.route.name,
            "service": entry.service,
            "server": entry.server,
            "after_ms": _to_ms(now - call.request.arrived_at),
            "attempt": attempt,
            **outcome,
        },
    )


def log_obstacle(
    call: RunningCall,
    attempt: int,
    entry: ServerEntry,
    obstacle: Ineligibility,
    now: float,
) -> None:
    """Log an attempt that waited for a connection and may not be sent any more."""
    log.info(
        "attempt withdrawn before it was sent",
        extra={
            "request_id": call.request.request_id,
            "service": entry.service,
            "server": entry.server,
            "after_ms": _to_ms(now - call.request.arrived_at),
            "attempt": attempt,
            "why": obstacle.value,
        },
    )


def _describe_part(part: PartCall, now: float) -> dict[str, object]:
    return {
        "service": part.service,
        "sends": part.sends,
        "under_way": {
            attempt.entry.server: _to_ms(now - attempt.sent_at)
            for attempt in part.attempts.values()
        },
        "why_not_again": part.repeat_refusal and part.repeat_refusal.value,
    }


def _to_ms(seconds: float) -> float:
    return round(seconds * 1000, 1)
