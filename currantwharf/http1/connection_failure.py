"""The ways in which an exchange on a connection fails."""

from enum import StrEnum


class ConnectionFailure(StrEnum):
    """Tell what became of a request that got no answer."""

    NOT_CONNECTED = "not_connected"  # no connection came about, nothing was sent
    REFUSED = "refused"  # nothing listens there, nothing was sent
    NOT_SENT = "not_sent"  # withdrawn before it was written
    BROKEN = "broken"  # the connection ended after the request was written
    SPOILED = "spoiled"  # bytes arrived that are no answer
    TIMED_OUT = "timed_out"  # no answer within the time given

    @property
    def may_have_been_sent(self) -> bool:
        """Whether the request may have reached the other end."""
        return self in (
            ConnectionFailure.BROKEN,
            ConnectionFailure.SPOILED,
            ConnectionFailure.TIMED_OUT,
        )
