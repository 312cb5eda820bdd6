"""The three outcomes that a request can have."""

from enum import StrEnum


class Outcome(StrEnum):
    """Say whether a request ran.

    `NOT_RUN` is used only where it is proved: the request never left, or the backend
    server or its owner said so. Everything else that is not an answer is `UNKNOWN`.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
