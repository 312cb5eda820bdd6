"""What a caller gets in the end."""

from dataclasses import dataclass
from enum import StrEnum

from currantwharf.gateway.backend_answer import BackendAnswer
from currantwharf.policy.coverage import Coverage


class CallOutcome(StrEnum):
    """Tell how a request ended."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"  # proved not to have run, and it never will
    UNKNOWN = "unknown"  # it may have run
    TIMED_OUT = "timed_out"  # no answer in time; it may have run


class CallReason(StrEnum):
    """Tell why a request has no answer."""

    NONE = "none"
    NO_SERVER = "no_server"
    OVERLOADED = "overloaded"
    HELD = "held"
    SERVER_LOST = "server_lost"
    SERVER_FAILED = "server_failed"
    COVERAGE_TOO_LOW = "coverage_too_low"
    TIMEOUT = "timeout"


@dataclass(frozen=True, slots=True)
class CallResult:
    """Hold the outcome, the answers that make it up and what it cost.

    `answers` has one answer for each part that is included; `sends` and `extras`
    count the requests to backend servers, extras being those beyond the first of each
    part. `retry_after_s` tells a caller whose request did not run when to come back.
    """

    outcome: CallOutcome
    reason: CallReason
    answers: tuple[BackendAnswer, ...]
    coverage: Coverage
    sends: int = 0
    extras: int = 0
    retry_after_s: float = 0.0
