"""The actions that a `RunningCall` returns for `CallRunner` to perform."""

from dataclasses import dataclass

from currantwharf.gateway.call_result import CallResult
from currantwharf.gateway.server_entry import ServerEntry
from currantwharf.http1 import ConnectionFailure


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the request to a server.

    `is_repeat` is true for the sends that spend the repeat budget: hedges, and retries
    of parts that may have reached a server.
    """

    attempt: int
    entry: ServerEntry
    is_repeat: bool


@dataclass(frozen=True, slots=True)
class PreconnectServer:
    """Open a connection to the server that a hedge would go to."""

    entry: ServerEntry


@dataclass(frozen=True, slots=True)
class CancelUnsent:
    """Cancel an attempt if it still waits for a connection, with a failure as reason.

    Its part is answered, or another server is likely to connect sooner.
    """

    attempt: int
    failure: ConnectionFailure = ConnectionFailure.NOT_SENT


@dataclass(frozen=True, slots=True)
class FinishCall:
    """Answer the caller; nothing more is sent for the request."""

    result: CallResult


CallAction = SendAttempt | PreconnectServer | CancelUnsent | FinishCall
