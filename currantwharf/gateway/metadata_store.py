"""The interface through which a gateway reads the platform's store."""

from enum import StrEnum
from typing import Protocol

from twisted.internet.defer import Deferred

from currantwharf.gateway.changes import StoreEvents, StoreSnapshot


class StoreFailure(StrEnum):
    """Why a request to the store failed."""

    HISTORY_LOST = (
        "history_lost"  # the store no longer has the changes since that revision
    )
    BUSY = "busy"  # the rate limit of calls is exceeded
    UNAVAILABLE = "unavailable"  # connection refused or reset, or host unreachable
    SILENT = "silent"  # no answer in time
    # The store is up, and a snapshot is less to read than the changes.
    TOO_MANY_CHANGES = "too_many_changes"
    UNREADABLE = "unreadable"  # the answer could not be decoded


class MetadataStore(Protocol):
    """Read-only access to the store."""

    def read_all(self, may_be_stale: bool) -> "Deferred[StoreSnapshot | StoreFailure]":
        """Return a snapshot of everything published."""

    def watch(
        self, after: int, wait_s: float
    ) -> "Deferred[StoreEvents | StoreFailure]":
        """Return the changes after a revision, or none after `wait_s` seconds.

        Changes that are too many to be read one by one fail as such.
        """

    def cancel_watch(self) -> None:
        """Cancel the pending watch; it fails with `StoreFailure.SILENT`."""
