"""All that this instance believes of the platform: configuration and servers."""

from collections import deque
from functools import singledispatchmethod

from currantwharf.gateway.changes import RevisedChange, StoreEvents, StoreSnapshot
from currantwharf.gateway.gateway_config import GatewayConfig
from currantwharf.gateway.route_table import RouteTable
from currantwharf.gateway.server_choice import ServerChooser
from currantwharf.gateway.server_directory import ServerDirectory
from currantwharf.gateway.store_change import (
    ConfigChanged,
    DataCentreChanged,
    ServerChanged,
    ServerRemoved,
    StoreChange,
)

LOG_LENGTH = 4_000  # changes that peers can be told one by one
AWAY_S = 3.0  # seconds after an outage in which ended registrations may come back


class Registry:
    """Take changes in from the store and from peers, in any order and repeatedly.

    A configuration replaces only a lower version; everything else goes by the
    store's revision of its key.
    """

    def __init__(self, directory: ServerDirectory, chooser: ServerChooser) -> None:
        self.directory = directory
        self.config: GatewayConfig | None = None
        self.routes = RouteTable(())
        self.revision = 0
        self.returned_at = -AWAY_S
        self._chooser = chooser
        self._out: dict[str, tuple[int, bool]] = {}
        self._config_revision = 0
        self._log: deque[RevisedChange] = deque(maxlen=LOG_LENGTH)
        self._log_begins = 0

    @property
    def is_known(self) -> bool:
        """Whether there is a configuration to serve by."""
        return self.config is not None

    def take(self, change: RevisedChange, now: float) -> bool:
        """Take one change in; return whether it is news."""
        change = self._mark_removal(change, now)
        is_news = self._apply(change.change, change.revision, now)
        if is_news:
            if len(self._log) == LOG_LENGTH:
                self._log_begins = max(self._log_begins, self._log[0].revision)
            self._log.append(change)
        return is_news

    def apply_events(self, events: StoreEvents, now: float) -> list[RevisedChange]:
        """Take changes in and return those that were news.

        The revision moves on only if nothing is missing before these changes.
        """
        news = [change for change in events.changes if self.take(change, now)]
        if self.revision >= events.after:
            self.revision = max(self.revision, events.revision)
        return news

    def events_after(self, revision: int) -> StoreEvents | None:
        """Return what has changed after a revision, or None if that is not known."""
        if revision < self._log_begins:
            return None
        changes = tuple(c for c in self._log if c.revision > revision)
        return StoreEvents(changes, revision, self.revision)

    def snapshot(self) -> StoreSnapshot:
        """Return all that is known, for a peer."""
        changes = [
            RevisedChange(revision, ServerChanged(entry))
            for entry, revision in self.directory.entries()
        ]
        changes += [
            RevisedChange(revision, DataCentreChanged(name, is_out))
            for name, (revision, is_out) in self._out.items()
            if is_out
        ]
        if self.config is not None:
            config = ConfigChanged(self.config)
            changes.append(RevisedChange(self._config_revision, config))
        return StoreSnapshot(tuple(changes), self.revision)

    def apply_snapshot(
        self, snapshot: StoreSnapshot, now: float
    ) -> list[RevisedChange]:
        """Take everything in, end what is missing, and return what was news."""
        news = [change for change in snapshot.changes if self.take(change, now)]
        present = {
            change.change.entry.server
            for change in snapshot.changes
            if isinstance(change.change, ServerChanged)
        }
        for server, revision in self.directory.revisions().items():
            if server not in present and revision <= snapshot.revision:
                removed = RevisedChange(snapshot.revision, ServerRemoved(server))
                self.take(removed, now)
                news.append(removed)
        still_out = {
            change.change.data_centre
            for change in snapshot.changes
            if isinstance(change.change, DataCentreChanged)
        }
        for name, (revision, is_out) in list(self._out.items()):
            if is_out and name not in still_out and revision <= snapshot.revision:
                back = RevisedChange(snapshot.revision, DataCentreChanged(name, False))
                self.take(back, now)
                news.append(back)
        if snapshot.revision > self.revision:
            self.revision = snapshot.revision
            self._log_begins = max(self._log_begins, snapshot.revision)
        return news

    def expire(self, now: float) -> list[str]:
        """Let go of servers whose registrations did not come back."""
        return self.directory.expire(now)

    def _mark_removal(self, change: RevisedChange, now: float) -> RevisedChange:
        """Note on a removal that the store was away a moment ago."""
        removed = change.change
        if not isinstance(removed, ServerRemoved) or now - self.returned_at >= AWAY_S:
            return change
        marked = ServerRemoved(removed.server, may_return=True)
        return RevisedChange(change.revision, marked)

    @singledispatchmethod
    def _apply(self, change: StoreChange, revision: int, now: float) -> bool:
        raise NotImplementedError(type(change))

    @_apply.register
    def _(self, change: ConfigChanged, revision: int, now: float) -> bool:
        if self.config is not None and change.config.version <= self.config.version:
            return False
        self.config = change.config
        self._config_revision = revision
        self.routes = RouteTable(change.config.routes)
        return True

    @_apply.register
    def _(self, change: ServerChanged, revision: int, now: float) -> bool:
        is_news = self.directory.put(change.entry, revision)
        if is_news:
            self._chooser.on_registration(change.entry, now)
        return is_news

    @_apply.register
    def _(self, change: ServerRemoved, revision: int, now: float) -> bool:
        return self.directory.remove(change.server, revision, now, change.may_return)

    @_apply.register
    def _(self, change: DataCentreChanged, revision: int, now: float) -> bool:
        known = self._out.get(change.data_centre)
        if known is not None and revision <= known[0]:
            return False
        self._out[change.data_centre] = (revision, change.is_out)
        self._chooser.excluded_data_centres = {
            name for name, (_, out) in self._out.items() if out
        }
        return known is None or known[1] != change.is_out
