"""Store changes with their revisions, as single changes, batches or snapshots."""

import msgspec

from currantwharf.gateway.store_change import StoreChange


class RevisedChange(msgspec.Struct, frozen=True):
    """A change and its revision in the store."""

    revision: int
    change: StoreChange


class StoreSnapshot(msgspec.Struct, frozen=True, tag="snapshot"):
    """All published entries, and the revision from which to watch for changes.

    `era` counts how often the store was restored from an older copy, which gives
    revisions out again; 0 if unknown.
    """

    changes: tuple[RevisedChange, ...]
    revision: int
    era: int = 0


class StoreEvents(msgspec.Struct, frozen=True, tag="events"):
    """The changes after revision `after`, up to and including `revision`.

    All of them are revisions of `era`, which is 0 if unknown.
    """

    changes: tuple[RevisedChange, ...]
    after: int
    revision: int
    era: int = 0
