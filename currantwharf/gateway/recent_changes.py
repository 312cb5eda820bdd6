"""The recent changes of the store, kept for instances that lack some of them.

The load: configurations come in quick succession, each up to a megabyte. An instance
that is behind needs the state and not its history, so only the newest change of each
subject is kept: a server, a data centre or the configuration. What an instance is sent
does not grow with the number of versions that it has missed, and neither does the
memory of the instance that sends it.
"""

from collections.abc import Hashable
from functools import singledispatch

from currantwharf.gateway.changes import RevisedChange
from currantwharf.gateway.store_change import (
    ConfigChanged,
    DataCentreChanged,
    ServerChanged,
    ServerRemoved,
    StoreChange,
)

# Subjects whose newest change is kept; an instance further behind gets a snapshot.
MAX_SUBJECTS = 4_000


@singledispatch
def subject_of(change: StoreChange) -> Hashable:
    """Return what a change is about; a later change of the same replaces it.

    >>> subject_of(ServerRemoved("s1"))
    ('server', 's1')
    """
    raise NotImplementedError(type(change))


@subject_of.register
def _(change: ConfigChanged) -> Hashable:
    return ("config",)


@subject_of.register
def _(change: ServerChanged) -> Hashable:
    return ("server", change.entry.server)


@subject_of.register
def _(change: ServerRemoved) -> Hashable:
    return ("server", change.server)


@subject_of.register
def _(change: DataCentreChanged) -> Hashable:
    return ("data-centre", change.data_centre)


class RecentChanges:
    """The newest change of each subject since the revision `start`."""

    def __init__(self, max_subjects: int = MAX_SUBJECTS) -> None:
        self.start = 0
        self._max_subjects = max_subjects
        self._changes: dict[Hashable, RevisedChange] = {}

    def add(self, change: RevisedChange) -> None:
        """Add a change, which replaces an earlier one of the same subject."""
        subject = subject_of(change.change)
        known = self._changes.pop(subject, None)
        if known is not None and known.revision > change.revision:
            change = known
        elif known is None and len(self._changes) >= self._max_subjects:
            oldest = next(iter(self._changes))
            self.start = max(self.start, self._changes.pop(oldest).revision)
        self._changes[subject] = change

    def list_after(self, revision: int) -> tuple[RevisedChange, ...] | None:
        """Return the changes after a revision, or None if some are not kept."""
        if revision < self.start:
            return None
        return tuple(c for c in self._changes.values() if c.revision > revision)

    def start_at(self, revision: int) -> None:
        """Keep only the changes after a revision, and no claim to earlier ones."""
        self.start = max(self.start, revision)
        self._changes = {
            subject: change
            for subject, change in self._changes.items()
            if change.revision > self.start
        }

    def clear(self) -> None:
        """Forget all changes, since revisions are given out anew."""
        self.start = 0
        self._changes.clear()
