"""The three possible outcomes of a request."""

from enum import StrEnum


class Outcome(StrEnum):
    """Whether a request ran.

    `NOT_RUN` is used only when this is certain: the request was never sent, or the
    backend server or its owner reported that it did not run. Every other request
    without an answer is `UNKNOWN`.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
