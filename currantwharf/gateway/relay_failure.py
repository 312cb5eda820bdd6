"""The ways in which a hub can fail to answer a query."""

from enum import StrEnum


class RelayFailure(StrEnum):
    """Whether a query that a hub did not answer may run elsewhere."""

    NOT_TAKEN = "not_taken"  # the hub never received it, or refused it
    UNCONFIRMED = (
        "unconfirmed"  # the hub may have it, and may have sent it once to each shard
    )
    LOST = "lost"  # the hub had it; all sends that the route allows may be used up
