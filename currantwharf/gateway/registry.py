"""All that this instance believes of the platform: configuration and servers."""

from functools import singledispatchmethod

from currantwharf.gateway.changes import (
    ConfigChanged,
    DataCentreChanged,
    RevisedChange,
    ServerChanged,
    ServerRemoved,
    StoreChange,
    StoreSnapshot,
)
from currantwharf.gateway.gateway_config import GatewayConfig
from currantwharf.gateway.route_table import RouteTable
from currantwharf.gateway.server_choice import ServerChooser
from currantwharf.gateway.server_directory import ServerDirectory

AWAY_S = 3.0  # seconds after an outage in which ended registrations may come back


class Registry:
    """Take changes in from the store and from peers, in any order and repeatedly.

    A configuration replaces only a lower version; everything else goes by the
    store's revision of its key.
    """

    def __init__(self, directory: ServerDirectory, chooser: ServerChooser) -> None:
        self.directory = directory
        self.config: GatewayConfig | None = None
        self.document = b""
        self.routes = RouteTable(())
        self.revision = 0
        self.returned_at = -AWAY_S
        self._chooser = chooser
        self._out: dict[str, tuple[int, bool]] = {}

    @property
    def is_known(self) -> bool:
        """Whether there is a configuration to serve by."""
        return self.config is not None

    def take(self, change: RevisedChange, now: float) -> bool:
        """Take one change in; return whether it is news."""
        return self._apply(change.change, change.revision, now)

    def take_snapshot(self, snapshot: StoreSnapshot, now: float) -> list[RevisedChange]:
        """Take everything in, end what is missing, and return what was news."""
        news = [change for change in snapshot.changes if self.take(change, now)]
        present = {
            change.change.entry.server
            for change in snapshot.changes
            if isinstance(change.change, ServerChanged)
        }
        for server, revision in self.directory.revisions().items():
            if server not in present and revision <= snapshot.revision:
                removed = ServerRemoved(server)
                self._apply(removed, snapshot.revision, now)
                news.append(RevisedChange(server, snapshot.revision, removed))
        still_out = {
            change.change.data_centre
            for change in snapshot.changes
            if isinstance(change.change, DataCentreChanged)
        }
        for name, (revision, is_out) in list(self._out.items()):
            if is_out and name not in still_out and revision <= snapshot.revision:
                back = DataCentreChanged(name, False)
                self._apply(back, snapshot.revision, now)
                news.append(RevisedChange(name, snapshot.revision, back))
        self.revision = max(self.revision, snapshot.revision)
        return news

    def expire(self, now: float) -> list[str]:
        """Let go of servers whose registrations did not come back."""
        return self.directory.expire(now)

    @singledispatchmethod
    def _apply(self, change: StoreChange, revision: int, now: float) -> bool:
        raise NotImplementedError(type(change))

    @_apply.register
    def _(self, change: ConfigChanged, revision: int, now: float) -> bool:
        if self.config is not None and change.config.version <= self.config.version:
            return False
        self.config = change.config
        self.document = change.document
        self.routes = RouteTable(change.config.routes)
        return True

    @_apply.register
    def _(self, change: ServerChanged, revision: int, now: float) -> bool:
        is_news = self.directory.put(change.entry, revision)
        if is_news:
            self._chooser.on_entry(change.entry, now)
        return is_news

    @_apply.register
    def _(self, change: ServerRemoved, revision: int, now: float) -> bool:
        may_return = now - self.returned_at < AWAY_S
        return self.directory.remove(change.server, revision, now, may_return)

    @_apply.register
    def _(self, change: DataCentreChanged, revision: int, now: float) -> bool:
        known = self._out.get(change.data_centre)
        if known is not None and revision <= known[0]:
            return False
        self._out[change.data_centre] = (revision, change.is_out)
        self._chooser.out = {name for name, (_, out) in self._out.items() if out}
        return known is None or known[1] != change.is_out
