"""The datagram that instances send each other."""

import msgspec

from currantwharf.gateway.changes import StoreEvents
from currantwharf.policy.crash_report import CrashReport


class MemberNews(msgspec.Struct, frozen=True, array_like=True):
    """Tell of one instance; `age_s` is how long ago it was heard, in seconds.

    `can_read` and `is_serving` are what it said then; `cores` is its processor.
    """

    name: str
    host: str
    data_centre: str
    age_s: float
    can_read: bool = True
    is_serving: bool = False
    cores: float = 0.0


class InstanceCount(msgspec.Struct, frozen=True, array_like=True):
    """Tell how many instances a data centre had `age_s` seconds ago."""

    data_centre: str
    instances: int
    age_s: float


class Hello(msgspec.Struct, frozen=True, array_like=True):
    """Tell how the sender stands and what it has heard.

    `can_read` is false if the store has just failed it, `revision` the store's
    revision up to which it knows all changes. `events` carries the newest changes if
    they are small; larger ones are fetched by whoever lacks them. `counts` tells how
    many instances the sender knows in each data centre, its own first.
    """

    name: str
    boot: str
    host: str
    data_centre: str
    is_serving: bool
    can_read: bool
    revision: int
    members: tuple[MemberNews, ...] = ()
    losses: tuple[CrashReport, ...] = ()
    events: StoreEvents | None = None
    wants_reply: bool = False
    cores: float = 0.0
    counts: tuple[InstanceCount, ...] = ()


_decoder = msgspec.msgpack.Decoder(Hello)


def encode_hello(hello: Hello) -> bytes:
    """Return the datagram of a hello."""
    return msgspec.msgpack.encode(hello)


def decode_hello(data: bytes) -> Hello | None:
    """Return the hello in a datagram, or None if it holds none.

    >>> decode_hello(b"no") is None
    True
    """
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError:
        return None
