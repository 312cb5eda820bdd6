"""The result of a call, from which the caller is answered."""

from dataclasses import dataclass
from enum import StrEnum

from currantwharf.gateway.backend_answer import BackendAnswer
from currantwharf.policy.coverage import Coverage


class CallOutcome(StrEnum):
    """How a request ended."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"  # it provably has not run and never will
    UNKNOWN = "unknown"  # it may have run
    TIMED_OUT = "timed_out"  # no answer in time; it may have run


class CallReason(StrEnum):
    """Why a request has no answer."""

    NONE = "none"
    NO_SERVER = "no_server"
    OVERLOADED = "overloaded"
    SERVER_LIMIT = "server_limit"  # the limits that its servers name are used up
    TURNED_AWAY = "turned_away"  # its servers want nothing from this instance
    HELD = "held"
    SERVER_LOST = "server_lost"
    SERVER_FAILED = "server_failed"
    COVERAGE_TOO_LOW = "coverage_too_low"
    TIMEOUT = "timeout"
    INTERNAL_ERROR = "internal_error"  # an unexpected error in this instance


@dataclass(frozen=True, slots=True)
class CallResult:
    """The outcome of a call, the answers behind it and the requests that it cost.

    `answers` has one answer for each part that is included. `sends` counts all
    requests to backend servers, `extras` those that spent the repeat budget: hedges,
    and retries of parts that may have reached a server.
    `retry_after_s` is the number of seconds after which a caller whose request did
    not run should try again.
    """

    outcome: CallOutcome
    reason: CallReason
    answers: tuple[BackendAnswer, ...]
    coverage: Coverage
    sends: int = 0
    extras: int = 0
    retry_after_s: float = 0.0
