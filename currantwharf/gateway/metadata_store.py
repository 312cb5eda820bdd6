"""The platform's store as a gateway reads it."""

from enum import StrEnum
from typing import Protocol

from twisted.internet.defer import Deferred

from currantwharf.gateway.changes import StoreEvents, StoreSnapshot


class StoreFailure(StrEnum):
    """Tell why the store gave no answer."""

    HISTORY_LOST = "history_lost"  # the changes since then are no longer held
    BUSY = "busy"  # over the rate of calls
    UNAVAILABLE = "unavailable"  # refused, reset or not reachable
    SILENT = "silent"  # no answer in time
    UNREADABLE = "unreadable"  # an answer that is none


class MetadataStore(Protocol):
    """Read the store; nothing is ever written."""

    def read_all(self, may_be_stale: bool) -> "Deferred[StoreSnapshot | StoreFailure]":
        """Return all that is published."""

    def watch(
        self, after: int, wait_s: float
    ) -> "Deferred[StoreEvents | StoreFailure]":
        """Return what changed after a revision, or nothing after `wait_s` seconds."""

    def cancel_watch(self) -> None:
        """End the watch that waits; it fails as silent."""
