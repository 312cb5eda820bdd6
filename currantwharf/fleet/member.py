"""The state of one instance as seen by another process."""

from dataclasses import dataclass
from enum import StrEnum


class MemberState(StrEnum):
    """The state of a member as seen by another process.

    A `DEAD` member does not answer, but may be partitioned and still running. A `GONE`
    member refused a connection: its host is up and no process listens there.
    """

    ALIVE = "alive"
    SUSPECTED = "suspected"
    DEAD = "dead"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Member:
    """The state of one boot of an instance, as seen by another process.

    `ready` and `stopping` were last reported by the instance itself. `changed_at` is
    the time at which the state last changed, `heard_at` the time of the last message
    from the instance itself, both in seconds of the monotonic clock. `heard_at` is
    None for an instance that is known only from updates of other members.
    """

    boot_id: str
    incarnation: int
    state: MemberState
    ready: bool
    stopping: bool
    changed_at: float
    heard_at: float | None = None
