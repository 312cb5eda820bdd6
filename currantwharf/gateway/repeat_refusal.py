"""The reasons for which a part of a request is not sent again."""

from enum import StrEnum


class RepeatRefusal(StrEnum):
    """Name what keeps a part from one more send."""

    BUDGET_SPENT = "budget_spent"  # of repeats, for the service and window
    CRASHES_SERVERS = "crashes_servers"  # the request is held
    NO_SERVER = "no_server"  # none that may get it
    NO_OTHER_SERVER = "no_other_server"  # none beside those that have it
    TOO_LATE = "too_late"  # an answer could not meet the target any more
