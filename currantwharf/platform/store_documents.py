"""The platform's documents of server registrations and store responses."""

import msgspec

from currantwharf.platform.bounded_numbers import Count, Revision


class ServerDocument(msgspec.Struct, rename="kebab"):
    """Registration of one server, whose id is in the key."""

    service: str
    address: str
    zone: str
    slots: Count
    state: str
    warmup_left_ms: float = 0.0
    sequence: int = 0
    born: int = 0  # Unix time in milliseconds of the start of the server process


class ItemDocument(msgspec.Struct, rename="kebab"):
    """One item of the store, or an event of its removal, which has no value."""

    key: str
    revision: Revision
    value: str | None = None


class RangeDocument(msgspec.Struct, rename="kebab"):
    """One page of items."""

    items: list[ItemDocument]
    store_revision: Revision
    truncated: bool = False


class WatchDocument(msgspec.Struct, rename="kebab"):
    """Response to a watch: the events since the revision that it started from."""

    events: list[ItemDocument]
    store_revision: Revision
