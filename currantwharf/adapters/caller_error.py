"""The typed errors that a caller's bad input gets."""

from dataclasses import dataclass
from enum import StrEnum


class CallerErrorType(StrEnum):
    """Name what is wrong with a caller's request."""

    NOT_JSON = "not_json"
    BAD_FIELD = "bad_field"
    UNKNOWN_CLASS = "unknown_class"
    DEADLINE_MISSING = "deadline_missing"
    DEADLINE_PAST = "deadline_past"
    DEADLINE_HUGE = "deadline_huge"
    BAD_ID = "bad_id"
    ISSUED_AT_MISSING = "issued_at_missing"
    ISSUED_AT_FUTURE = "issued_at_future"


@dataclass(frozen=True, slots=True)
class CallerError:
    """Tell a caller what is wrong; the request was not run."""

    type: CallerErrorType
    detail: str
