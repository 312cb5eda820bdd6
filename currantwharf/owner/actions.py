"""Actions that a server scheduler returns to the task that drives it."""

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
    """Refuse a request by answering that it did not run."""

    request: ShardRequest
    reason: Reason


@dataclass(frozen=True, slots=True)
class Abort:
    """Cancel a call that is in flight at the backend server."""

    call: int
    requests: tuple[ShardRequest, ...]


@dataclass(frozen=True, slots=True)
class WakeAt:
    """Call the scheduler again at `at`, in seconds of the monotonic clock."""

    at: float


SchedulerAction = Dispatch | Refuse | Abort | WakeAt | Abandon
