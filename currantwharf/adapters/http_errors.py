"""Classifies failed calls: whether they may have been sent or have timed out."""

from twisted.internet.defer import CancelledError
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.python.failure import Failure
from twisted.web.client import ResponseFailed, ResponseNeverReceived


def may_have_been_sent(exc: BaseException) -> bool:
    """Return whether a byte of the request may have left this process.

    A failure to connect proves that none did. After any other failure, some bytes
    may have been sent.
    """
    return not isinstance(exc, ConnectError | ConnectingCancelledError)


def is_timeout(exc: BaseException) -> bool:
    """Return whether the call failed because it timed out."""
    if isinstance(exc, ResponseFailed | ResponseNeverReceived):
        reasons: list[Failure] = list(exc.reasons)
        return any(reason.check(CancelledError) for reason in reasons)
    return isinstance(exc, CancelledError)
