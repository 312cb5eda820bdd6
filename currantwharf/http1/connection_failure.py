"""The ways in which a request on a connection fails."""

from enum import StrEnum


class ConnectionFailure(StrEnum):
    """Reason why a request got no response."""

    NOT_CONNECTED = "not_connected"  # no connection was established; nothing was sent
    REFUSED = "refused"  # no process listens at the address; nothing was sent
    SLOW_CONNECT = "slow_connect"  # given up while connecting; nothing was sent
    NOT_SENT = "not_sent"  # cancelled before it was written
    BROKEN = "broken"  # the connection ended after the request was written
    SPOILED = "spoiled"  # the bytes received are not a response
    TOO_LARGE = "too_large"  # the bytes received exceed every bound of a response
    TIMED_OUT = "timed_out"  # no response before the timeout

    @property
    def may_have_been_sent(self) -> bool:
        """Whether the request may have reached the other end."""
        return self in (
            ConnectionFailure.BROKEN,
            ConnectionFailure.SPOILED,
            ConnectionFailure.TOO_LARGE,
            ConnectionFailure.TIMED_OUT,
        )
