"""Changes with their revisions, one by one or as a whole."""

import msgspec

from currantwharf.gateway.store_change import StoreChange


class RevisedChange(msgspec.Struct, frozen=True):
    """Hold a change and the store's revision of it."""

    revision: int
    change: StoreChange


class StoreSnapshot(msgspec.Struct, frozen=True, tag="snapshot"):
    """Hold all that is published, and the revision from which to watch."""

    changes: tuple[RevisedChange, ...]
    revision: int


class StoreEvents(msgspec.Struct, frozen=True, tag="events"):
    """Hold the changes after one revision, up to and with another."""

    changes: tuple[RevisedChange, ...]
    after: int
    revision: int
