"""What a running call asks its task to do."""

from dataclasses import dataclass

from currantwharf.gateway.call_result import CallResult
from currantwharf.gateway.server_entry import ServerEntry


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the request to a server; `is_repeat` for one beyond a part's first."""

    attempt: int
    entry: ServerEntry
    is_repeat: bool


@dataclass(frozen=True, slots=True)
class PrepareServer:
    """Open a connection to the server that a hedge would go to."""

    entry: ServerEntry


@dataclass(frozen=True, slots=True)
class WithdrawUnsent:
    """Give an attempt up if it still waits for a connection: its part is answered."""

    attempt: int


@dataclass(frozen=True, slots=True)
class FinishCall:
    """Answer the caller; nothing more is sent for the request."""

    result: CallResult


CallAction = SendAttempt | PrepareServer | WithdrawUnsent | FinishCall
