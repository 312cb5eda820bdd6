"""The gossip datagram that instances send to each other."""

import msgspec

from currantwharf.documents.decode_errors import DECODE_ERRORS
from currantwharf.gateway.changes import StoreEvents
from currantwharf.gateway.limit_report import LimitReport
from currantwharf.gateway.store_position import NO_ERA
from currantwharf.policy.crash_report import CrashReport


class MemberSummary(msgspec.Struct, frozen=True, array_like=True):
    """Summary of one instance, as known to the sender of a hello.

    `age_s` is the time in seconds since the instance was last heard from. `can_read`
    and `is_serving` are the values that it reported then; `cores` is its processor
    capacity in cores.
    """

    name: str
    host: str
    data_centre: str
    age_s: float
    can_read: bool = True
    is_serving: bool = False
    cores: float = 0.0


class InstanceCount(msgspec.Struct, frozen=True, array_like=True):
    """Number of instances that a data centre had `age_s` seconds ago."""

    data_centre: str
    instances: int
    age_s: float


class Hello(msgspec.Struct, frozen=True, array_like=True):
    """Status of the sender, and what it knows about the fleet.

    `can_read` is false if the store has recently failed the sender. `revision` is the
    store revision up to which the sender knows all changes. `events` contains the
    newest changes if they are small; an instance that lacks larger ones fetches them.
    `members` contains some of the instances that the sender knows, `losses` the newest
    losses of backend servers, and `counts` the number of instances in each data centre,
    the sender's own first. `limits` tells what some servers have said of their limits,
    and `loss_count` how many losses the sender knows. `confirmed_age_s` is how long ago
    no change was missing at the sender, None if that is unknown. `era` is the era of
    the store to which `revision` and `events` belong.
    """

    name: str
    boot: str
    host: str
    data_centre: str
    is_serving: bool
    can_read: bool
    revision: int
    members: tuple[MemberSummary, ...] = ()
    losses: tuple[CrashReport, ...] = ()
    events: StoreEvents | None = None
    wants_reply: bool = False
    cores: float = 0.0
    counts: tuple[InstanceCount, ...] = ()
    limits: tuple[LimitReport, ...] = ()
    loss_count: int = 0
    confirmed_age_s: float | None = None
    era: int = NO_ERA


_decoder = msgspec.msgpack.Decoder(Hello)


def encode_hello(hello: Hello) -> bytes:
    """Encode a hello as a datagram."""
    return msgspec.msgpack.encode(hello)


def decode_hello(data: bytes) -> Hello | None:
    """Decode a datagram; return None if it is not a valid hello.

    >>> decode_hello(b"no") is None
    True
    """
    try:
        return _decoder.decode(data)
    except DECODE_ERRORS:
        return None
