"""This instance's view of the platform: configuration, servers and data centres."""

from collections.abc import Callable
from functools import singledispatchmethod

from currantwharf.gateway.changes import RevisedChange, StoreEvents, StoreSnapshot
from currantwharf.gateway.copy_doubts import CopyDoubts
from currantwharf.gateway.gateway_config import GatewayConfig
from currantwharf.gateway.recent_changes import RecentChanges
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
from currantwharf.gateway.store_position import NO_ERA, StorePosition

# After the store returns from an outage, a removed server may register again for this
# long: its registration may have lapsed only because the store was unavailable.
STORE_RETURN_WINDOW_S = 3.0
NEVER = float("-inf")  # the time of what has not happened


class Registry:
    """Merge changes from the store and from peers into one consistent view.

    Changes may arrive in any order and more than once. A configuration replaces only
    one of a lower version. Every other change applies only if its store revision is
    higher than that of the known entry and than `revision`, the store revision up to
    which no change is missing: a change at or below it is known, even if the server
    that it names has left and no entry is kept. `store_returned_at` is when the store
    last became available.

    A store restored from an older copy gives revisions out again, in a later `era`. A
    snapshot of a later era is merged into the view, whose revisions then all count as
    older than those of the new era; changes of earlier eras are ignored. What is known
    to have happened after the copy was made goes before what the copy says, as
    `CopyDoubts` decides. `on_restored` is called with the position that was known
    before, and the number of servers that the store still holds although they left.

    A first read may be seconds old. `is_confirmed` is true once the store, or a peer
    that serves, has shown that no change is missing; `on_confirmed` is called then.
    `confirmed_at` is the latest time at which no change was missing, as far as known.
    `on_restarted` is called with the id of a server that has started again under it.
    """

    def __init__(self, directory: ServerDirectory, chooser: ServerChooser) -> None:
        self.directory = directory
        self.config: GatewayConfig | None = None
        self.routes = RouteTable(())
        self.era = NO_ERA
        self.revision = 0
        self.has_seen_restore = False
        self.store_returned_at = -STORE_RETURN_WINDOW_S
        self.is_confirmed = False
        self.confirmed_at = NEVER
        self.on_confirmed: Callable[[], None] = lambda: None
        self.on_restarted: Callable[[str], None] = lambda server: None
        self.on_restored: Callable[[StorePosition, int], None] = lambda *_: None
        self._chooser = chooser
        self._data_centre_states: dict[str, tuple[int, bool]] = {}
        self._config_revision = 0
        self._shards: frozenset[str] = frozenset()
        self._doubts = CopyDoubts(directory)
        self._recent_changes = RecentChanges()

    @property
    def has_config(self) -> bool:
        """Whether a configuration has been received."""
        return self.config is not None

    @property
    def position(self) -> StorePosition:
        """The position up to which no change of the store is missing."""
        return StorePosition(self.era, self.revision)

    def is_shard(self, service: str) -> bool:
        """Return whether the configuration names a service as a shard."""
        return service in self._shards

    def confirm(self, newest_revision: int, at: float) -> None:
        """Record that the newest revision was `newest_revision` at the time `at`."""
        if not self.has_config or newest_revision > self.revision:
            return
        self.confirmed_at = max(self.confirmed_at, at)
        if not self.is_confirmed:
            self.is_confirmed = True
            self.on_confirmed()

    def apply_change(self, change: RevisedChange, now: float) -> bool:
        """Apply one change; return whether it changed the view."""
        if change.revision <= self.revision:
            return False
        change = self._mark_if_may_return(change, now)
        is_new = self._apply(change.change, change.revision, now)
        if is_new:
            self._recent_changes.add(change)
        return is_new

    def apply_events(self, events: StoreEvents, now: float) -> list[RevisedChange]:
        """Apply changes; return those that changed the view.

        The registry's revision advances only if there is no gap before these changes.
        Changes of another era are ignored.
        """
        if events.era != self.era:
            return []
        new_changes = [
            change for change in events.changes if self.apply_change(change, now)
        ]
        if self.revision >= events.after:
            self.revision = max(self.revision, events.revision)
        return new_changes

    def get_events_after(self, revision: int) -> StoreEvents | None:
        """Return the changes after a revision, or None if some are not kept.

        Of several changes of the same subject, only the newest is returned.
        """
        changes = self._recent_changes.list_after(revision)
        if changes is None:
            return None
        return StoreEvents(changes, revision, self.revision, self.era)

    def build_snapshot(self) -> StoreSnapshot:
        """Return the whole view, for a peer.

        What is known from before a restore of the store has the lowest revision of all.
        """
        changes = [
            RevisedChange(max(revision, 1), ServerChanged(entry))
            for entry, revision in self.directory.list_entries()
        ]
        changes += [
            RevisedChange(max(revision, 1), DataCentreChanged(name, is_out))
            for name, (revision, is_out) in self._data_centre_states.items()
            if is_out
        ]
        if self.config is not None:
            config = ConfigChanged(self.config)
            changes.append(RevisedChange(max(self._config_revision, 1), config))
        doubtful = self._doubts.list_servers()
        return StoreSnapshot(tuple(changes), self.revision, self.era, doubtful)

    def apply_snapshot(
        self, snapshot: StoreSnapshot, now: float
    ) -> list[RevisedChange]:
        """Apply a snapshot; return the changes that it made.

        Servers that are missing from it are removed, and data centres that it does not
        list as out of service are in service again, unless their known state is newer.
        """
        if snapshot.era < self.era:
            return []
        current = snapshot.changes
        if snapshot.era > self.era:
            known, states = self.position, self._data_centre_states
            self.restart(snapshot.era, now)
            current = self._doubts.start(snapshot, states, now)
            if known.revision and known.era != NO_ERA:
                self.on_restored(known, self._doubts.server_count)
        new_changes = [change for change in current if self.apply_change(change, now)]
        present = {
            change.change.entry.server
            for change in snapshot.changes
            if isinstance(change.change, ServerChanged)
        }
        for server, revision in self.directory.get_revisions().items():
            if server not in present and revision <= snapshot.revision:
                removed = RevisedChange(snapshot.revision, ServerRemoved(server))
                if self.apply_change(removed, now):
                    new_changes.append(removed)
        out_of_service = {
            change.change.data_centre
            for change in snapshot.changes
            if isinstance(change.change, DataCentreChanged)
        }
        for name, (revision, is_out) in list(self._data_centre_states.items()):
            is_missing = is_out and name not in out_of_service
            if self._doubts.is_state_doubtful(name):
                continue
            if is_missing and revision <= snapshot.revision:
                restored = RevisedChange(
                    snapshot.revision, DataCentreChanged(name, False)
                )
                if self.apply_change(restored, now):
                    new_changes.append(restored)
        if snapshot.revision > self.revision:
            self.revision = snapshot.revision
            self._recent_changes.start_at(snapshot.revision)
        return new_changes

    def restart(self, era: int, now: float) -> None:
        """Count all that is known as older than any change of `era`.

        A snapshot has to follow. Servers that it lacks may register again, as after an
        outage.
        """
        known = self.position
        self.era, self.revision = era, 0
        self.directory.reset_revisions()
        self._data_centre_states = {
            name: (0, is_out) for name, (_, is_out) in self._data_centre_states.items()
        }
        self._config_revision = 0
        self._recent_changes.clear()
        if known.revision and known.era != NO_ERA:
            self.has_seen_restore = True
            self.store_returned_at = now

    def expire(self, now: float) -> list[str]:
        """Drop and return servers that did not register again in time.

        Registrations that were doubtful and still stand count from now on.
        """
        for change in self._doubts.pop_due(now):
            self._apply(change.change, change.revision or self.revision, now)
        return self.directory.expire(now)

    def _mark_if_may_return(self, change: RevisedChange, now: float) -> RevisedChange:
        """Set `may_return` on a removal soon after a store outage."""
        store_change = change.change
        if (
            not isinstance(store_change, ServerRemoved)
            or now - self.store_returned_at >= STORE_RETURN_WINDOW_S
        ):
            return change
        marked = ServerRemoved(store_change.server, may_return=True)
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
        self._shards = frozenset(
            shard for route in change.config.routes for shard in route.shards
        )
        return True

    @_apply.register
    def _(self, change: ServerChanged, revision: int, now: float) -> bool:
        self._doubts.settle_server(change.entry.server)
        known = self.directory.find_used(change.entry.server)
        last = self.directory.find_last(change.entry.server)
        is_new = self.directory.put(change.entry, revision)
        if is_new:
            if last is not None and change.entry.is_restart_of(last):
                self._chooser.on_restarted(last.server)
            if known is not None and change.entry.is_restart_of(known):
                self._chooser.crash_watch.on_restarted(known.server, now)
                self.on_restarted(known.server)
            self._chooser.on_registration(change.entry, now)
        return is_new

    @_apply.register
    def _(self, change: ServerRemoved, revision: int, now: float) -> bool:
        self._doubts.settle_server(change.server)
        is_new = self.directory.remove(change.server, revision, now, change.may_return)
        if is_new and not change.may_return:
            self._chooser.crash_watch.on_ended(change.server, now)
        return is_new

    @_apply.register
    def _(self, change: DataCentreChanged, revision: int, now: float) -> bool:
        known = self._data_centre_states.get(change.data_centre)
        if known is not None and revision <= known[0]:
            return False
        was_doubtful = self._doubts.settle_state(change.data_centre)
        self._data_centre_states[change.data_centre] = (revision, change.is_out)
        self._chooser.eligibility.excluded_data_centres = {
            name for name, (_, is_out) in self._data_centre_states.items() if is_out
        }
        return known is None or known[1] != change.is_out or was_doubtful
