"""Reasons why a request or a shard request has no complete answer."""

from enum import StrEnum


class Reason(StrEnum):
    """Cause of an outcome other than a complete answer."""

    NONE = "none"
    DEADLINE = "deadline"
    OVERLOADED = "overloaded"
    NOT_OWNER = "not_owner"
    NO_REPLICA = "no_replica"
    SERVER_LOST = "server_lost"
    SERVER_SHED = "server_shed"
    SERVER_LEAVING = "server_leaving"
    SERVER_FAILED = "server_failed"
    BAD_ANSWER = "bad_answer"
    VERSION_GONE = "version_gone"
    SHARD_MOVED = "shard_moved"
    CANCELLED = "cancelled"
    PEER_LOST = "peer_lost"
    COVERAGE_TOO_LOW = "coverage_too_low"
    CLAIM_REFUSED = "claim_refused"
    ALREADY_CLAIMED = "already_claimed"
    ID_REUSED = "id_reused"
    QUARANTINED = "quarantined"
    NOT_READY = "not_ready"
    STOPPING = "stopping"
