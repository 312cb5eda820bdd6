"""The heartbeat of an instance, with updates about other instances and crashes."""

from dataclasses import dataclass

from currantwharf.policy.crash_report import CrashReport
from currantwharf.wire.ack import Ack


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """The state of one boot of an instance, as known to the sender.

    Only the instance itself raises its `incarnation`, to refute a suspicion that it
    is down.
    """

    instance: str
    boot_id: str
    incarnation: int
    state: str
    ready: bool
    stopping: bool


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The sender's own state, its updates about other instances and crash reports."""

    standing: Ack
    news: tuple[MemberUpdate, ...] = ()
    crashes: tuple[CrashReport, ...] = ()
