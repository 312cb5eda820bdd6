"""Log the calls that an engineer may have to explain."""

from currantwharf.gateway.attempt_result import AttemptResult
from currantwharf.gateway.backend_answer import BackendAnswer
from currantwharf.gateway.call_result import CallOutcome, CallResult
from currantwharf.gateway.part_call import PartCall
from currantwharf.gateway.running_call import RunningCall
from currantwharf.gateway.server_entry import ServerEntry
from currantwharf.runtime.component_log import component_logger

MOST_MISSING = 4  # parts without an answer that one line describes
SAMPLE = 50  # of so many calls that were answered whole, in time and at once, one

log = component_logger("call")


class CallLog:
    """Write a line for each call that was refused, late, partial or sent again.

    Of the others one in `SAMPLE` is written.
    """

    def __init__(self) -> None:
        self._plain = 0

    def on_result(
        self, call: RunningCall, result: CallResult, version: int, now: float
    ) -> None:
        """Note the result of a call."""
        late_s = now - call.request.target_at
        is_plain = (
            result.outcome is CallOutcome.ANSWERED
            and result.coverage.is_complete
            and not result.extras
            and late_s <= 0
        )
        if is_plain:
            self._plain += 1
            if self._plain % SAMPLE:
                return
        missing = [_describe(part, now) for part in call.parts if part.answer is None]
        log.info(
            result.outcome.value,
            extra={
                "request_id": call.request.request_id,
                "route": call.route.name,
                "config_version": version,
                "reason": result.reason.value,
                "elapsed_ms": _ms(now - call.request.arrived_at),
                "target_left_ms": _ms(-late_s),
                "deadline_left_ms": _ms(call.request.deadline - now),
                "answered": result.coverage.answered,
                "parts": result.coverage.shards,
                "sends": result.sends,
                "extras": result.extras,
                "missing": missing[:MOST_MISSING],
            },
        )


def log_failed_attempt(
    call: RunningCall,
    attempt: int,
    entry: ServerEntry,
    result: AttemptResult,
    now: float,
) -> None:
    """Note an attempt at a server that brought no success."""
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
            "after_ms": _ms(now - call.request.arrived_at),
            "attempt": attempt,
            **outcome,
        },
    )


def _describe(part: PartCall, now: float) -> dict[str, object]:
    return {
        "service": part.service,
        "sends": part.sends,
        "under_way": {
            attempt.entry.server: _ms(now - attempt.sent_at)
            for attempt in part.attempts.values()
        },
        "why_not_again": part.why_not_again and part.why_not_again.value,
    }


def _ms(seconds: float) -> float:
    return round(seconds * 1000, 1)
