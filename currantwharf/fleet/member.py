"""What one process believes of one instance."""

from dataclasses import dataclass
from enum import StrEnum


class MemberState(StrEnum):
    """The states of a member as another process sees it.

    A `DEAD` member has not answered; it may be cut off and at work. Of a `GONE` one
    the connection was refused: its host lives and no process listens there.
    """

    ALIVE = "alive"
    SUSPECTED = "suspected"
    DEAD = "dead"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Member:
    """Hold the belief about one boot of an instance.

    `ready` and `stopping` are what the instance last said of itself. `changed_at` is
    when `state` last changed and `heard_at` when the instance itself was last heard,
    both in seconds of the monotonic clock; `heard_at` is None for an instance that
    is known by rumour only.
    """

    boot_id: str
    incarnation: int
    state: MemberState
    ready: bool
    stopping: bool
    changed_at: float
    heard_at: float | None = None
