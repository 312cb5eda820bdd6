"""The heartbeat of an instance, with news of others."""

from dataclasses import dataclass

from currantwharf.wire.ack import Ack


@dataclass(frozen=True, slots=True)
class MemberNews:
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
class CrashNews:
    """Tell that a backend server was lost while it ran a request.

    `key` names the request by its fingerprint and shard, `boot` the server and its
    boot; the loss was `age_s` seconds ago.
    """

    key: str
    boot: str
    age_s: float


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Show how the sender stands and what it has heard of others."""

    standing: Ack
    news: tuple[MemberNews, ...] = ()
    crashes: tuple[CrashNews, ...] = ()
