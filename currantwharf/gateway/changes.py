"""Store changes with their revisions, as single changes, batches or snapshots."""

import msgspec

from currantwharf.gateway.store_change import StoreChange


class RevisedChange(msgspec.Struct, frozen=True):
    """A change and its revision in the store."""

    revision: int
    change: StoreChange


class StoreSnapshot(msgspec.Struct, frozen=True, tag="snapshot"):
    """All published entries, and the revision from which to watch for changes."""

    changes: tuple[RevisedChange, ...]
    revision: int


class StoreEvents(msgspec.Struct, frozen=True, tag="events"):
    """The changes after revision `after`, up to and including `revision`."""

    changes: tuple[RevisedChange, ...]
    after: int
    revision: int
