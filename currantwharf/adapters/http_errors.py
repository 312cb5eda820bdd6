"""Tell a call that never left from one that may have been read."""

from twisted.internet.defer import CancelledError
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.python.failure import Failure
from twisted.web.client import ResponseFailed, ResponseNeverReceived


def may_have_been_sent(exc: BaseException) -> bool:
    """Return whether a byte of the request may have left this process.

    A connection that could not be made proves that none did. Every other failure
    leaves the question open.
    """
    return not isinstance(exc, ConnectError | ConnectingCancelledError)


def is_timeout(exc: BaseException) -> bool:
    """Return whether the call ended because its time ran out."""
    if isinstance(exc, ResponseFailed | ResponseNeverReceived):
        reasons: list[Failure] = list(exc.reasons)
        return any(reason.check(CancelledError) for reason in reasons)
    return isinstance(exc, CancelledError)
