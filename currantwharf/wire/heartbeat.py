"""The heartbeat of an instance, with news of others."""

from dataclasses import dataclass

from currantwharf.policy.crash_report import CrashReport
from currantwharf.wire.ack import Ack


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """Carry one rumour: the state of one boot of an instance.

    `incarnation` is raised only by the instance itself, to refute a suspicion.
    """

    instance: str
    boot_id: str
    incarnation: int
    state: str
    ready: bool
    stopping: bool


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Show how the sender stands and what it has heard of others."""

    standing: Ack
    news: tuple[MemberUpdate, ...] = ()
    crashes: tuple[CrashReport, ...] = ()
