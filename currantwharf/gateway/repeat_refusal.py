"""The reasons why a part of a request is not sent again."""

from enum import StrEnum


class RepeatRefusal(StrEnum):
    """Why a part is not sent once more."""

    BUDGET_SPENT = "budget_spent"  # the service's budget of repeats in this window
    CRASHES_SERVERS = "crashes_servers"  # the request is held
    NO_SERVER = "no_server"  # no server is eligible
    NO_OTHER_SERVER = "no_other_server"  # every eligible server has the request
    TOO_LATE = "too_late"  # an answer could no longer meet the target
    NOT_SOONER = "not_sooner"  # no other server is expected to answer sooner
