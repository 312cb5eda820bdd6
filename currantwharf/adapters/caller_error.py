"""Typed errors for invalid input from a caller."""

from dataclasses import dataclass
from enum import StrEnum


class CallerErrorType(StrEnum):
    """What is wrong with a caller's request."""

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
    """Why a caller's request was rejected without being run."""

    type: CallerErrorType
    detail: str
