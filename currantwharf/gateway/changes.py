"""Store changes with their revisions, as single changes, batches or snapshots."""

import msgspec

from currantwharf.gateway.store_change import StoreChange
from currantwharf.gateway.store_position import NO_ERA


class RevisedChange(msgspec.Struct, frozen=True):
    """A change and its revision in the store."""

    revision: int
    change: StoreChange


class StoreSnapshot(msgspec.Struct, frozen=True, tag="snapshot"):
    """All published entries, and the revision from which to watch for changes.

    `era` counts how often the store was restored from an older copy, which gives
    revisions out again. `doubtful` are the registrations of servers that had left, as
    far as an instance knew, and that the copy still holds.
    """

    changes: tuple[RevisedChange, ...]
    revision: int
    era: int = NO_ERA
    doubtful: tuple[RevisedChange, ...] = ()


class StoreEvents(msgspec.Struct, frozen=True, tag="events"):
    """The changes after revision `after`, up to and including `revision`.

    All of them are revisions of `era`.
    """

    changes: tuple[RevisedChange, ...]
    after: int
    revision: int
    era: int = NO_ERA
