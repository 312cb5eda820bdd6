"""The ways in which a hub fails a query."""

from enum import StrEnum


class RelayFailure(StrEnum):
    """Tell whether a query that a hub did not answer may be run elsewhere."""

    NOT_TAKEN = "not_taken"  # the hub never had it, or has refused it
    UNCONFIRMED = "unconfirmed"  # the hub may have it, and sent it once to each shard
    LOST = "lost"  # the hub had it; servers may have run as many of it as they may
