"""Registrations and the store's answers, as the platform spells them."""

import msgspec


class ServerDocument(msgspec.Struct, rename="kebab"):
    """One server's registration; its id is in the key."""

    service: str
    address: str
    zone: str
    slots: int
    state: str
    warmup_left_ms: float = 0.0


class ItemDocument(msgspec.Struct, rename="kebab"):
    """One item of the store, or the news that a key was removed."""

    key: str
    revision: int
    value: str | None = None
    removed: bool | None = None


class RangeDocument(msgspec.Struct, rename="kebab"):
    """One page of items."""

    items: list[ItemDocument]
    store_revision: int
    truncated: bool = False


class WatchDocument(msgspec.Struct, rename="kebab"):
    """What a watch returned."""

    events: list[ItemDocument]
    store_revision: int
