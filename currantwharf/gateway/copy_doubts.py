"""Comparison of a restored store's copy with what is known to have happened since.

The copy of a store that was restored is some seconds old. It may call a server ready
that leaves, hold servers that had left, and lack a data centre's removal from service,
or its return. The operator and the servers write again what was lost. Until then, and
for a limited time, what is known goes before what the copy says.
"""

from collections.abc import Mapping

from currantwharf.gateway.changes import RevisedChange, StoreSnapshot
from currantwharf.gateway.server_directory import ServerDirectory
from currantwharf.gateway.store_change import (
    DataCentreChanged,
    ServerChanged,
    StoreChange,
)

# How long a restored store may hold a server that has left. Its registration lapses
# when it has been silent for three of its intervals, 3.6 s, and may be read 1 s later.
COPY_DOUBT_S = 5.0
# Time in which the operator and the servers have written again what a restore lost.
REWRITE_S = 3.0


class CopyDoubts:
    """The entries of a restored store that are not used yet, each for a limited time.

    A registration that its server has replaced since is outdated. One whose server has
    left since is doubtful: the server may have returned meanwhile, and what it wrote
    then may have been lost.
    """

    def __init__(self, directory: ServerDirectory) -> None:
        self._directory = directory
        self._servers: dict[str, tuple[RevisedChange, float]] = {}
        self._states: dict[str, tuple[DataCentreChanged, float]] = {}

    @property
    def server_count(self) -> int:
        """The number of servers that the store still holds although they have left."""
        return len(self._servers)

    def list_servers(self) -> tuple[RevisedChange, ...]:
        """Return the doubtful registrations, for a peer."""
        return tuple(change for change, _ in self._servers.values())

    def is_state_doubtful(self, data_centre: str) -> bool:
        """Return whether the known state of a data centre goes before the store's."""
        return data_centre in self._states

    def start(
        self,
        snapshot: StoreSnapshot,
        known_states: Mapping[str, tuple[int, bool]],
        now: float,
    ) -> tuple[RevisedChange, ...]:
        """Compare a restored store with what is known; return what counts now.

        `known_states` are the revisions and states of data centres from before the
        restore, by name. Servers that have left are dropped from the directory.
        """
        self._servers = {
            change.change.entry.server: (change, now + COPY_DOUBT_S)
            for change in snapshot.changes + snapshot.doubtful
            if isinstance(change.change, ServerChanged)
            and (
                change in snapshot.doubtful
                or self._directory.has_left(change.change.entry)
            )
        }
        for server in self._servers:
            self._directory.mark_left(server, now)
        self._states = _find_doubtful_states(snapshot, known_states, now)
        return tuple(
            change
            for change in snapshot.changes
            if not self._is_outdated(change.change)
        )

    def settle_server(self, server: str) -> None:
        """Drop the doubt about a server that was written or removed since."""
        self._servers.pop(server, None)

    def settle_state(self, data_centre: str) -> bool:
        """Drop the doubt about a data centre; return whether there was one."""
        return self._states.pop(data_centre, None) is not None

    def pop_due(self, now: float) -> list[RevisedChange]:
        """Remove and return the doubtful entries that nothing has settled in time."""
        due = [change for change, until in self._servers.values() if now >= until]
        due += [
            RevisedChange(0, state)
            for state, until in self._states.values()
            if now >= until
        ]
        self._servers = {
            server: doubt for server, doubt in self._servers.items() if now < doubt[1]
        }
        self._states = {
            name: doubt for name, doubt in self._states.items() if now < doubt[1]
        }
        return due

    def _is_outdated(self, change: StoreChange) -> bool:
        if isinstance(change, ServerChanged):
            server = change.entry.server
            return server in self._servers or self._directory.holds(change.entry)
        if isinstance(change, DataCentreChanged):
            return change.data_centre in self._states
        return False


def _find_doubtful_states(
    snapshot: StoreSnapshot, known_states: Mapping[str, tuple[int, bool]], now: float
) -> dict[str, tuple[DataCentreChanged, float]]:
    """Return the states of data centres that were changed after the copy was made.

    A removal from service with a higher revision than the known state is newer than
    that, whether the copy holds it or it was written since.
    """
    listed = {
        change.change.data_centre: change.revision
        for change in snapshot.changes
        if isinstance(change.change, DataCentreChanged)
    }
    return {
        name: (DataCentreChanged(name, not is_out), now + REWRITE_S)
        for name, (revision, is_out) in known_states.items()
        if (is_out and name not in listed)
        or (not is_out and listed.get(name, revision + 1) <= revision)
    }
