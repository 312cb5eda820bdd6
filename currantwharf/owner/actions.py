"""What a server gate asks its task to do."""

from dataclasses import dataclass

from currantwharf.owner.abandon import Abandon
from currantwharf.wire import Reason, ShardRequest


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send these requests to the backend server in one call."""

    call: int
    requests: tuple[ShardRequest, ...]


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer that the request did not run."""

    request: ShardRequest
    reason: Reason


@dataclass(frozen=True, slots=True)
class Abort:
    """Cancel a call that is under way at the backend server."""

    call: int
    requests: tuple[ShardRequest, ...]


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Call the gate again at `at`, seconds of the monotonic clock."""

    at: float


SchedulerAction = Dispatch | Refuse | Abort | WakeAt | Abandon
