"""The backend servers that are registered, by service."""

from dataclasses import dataclass

from currantwharf.gateway.server_entry import ServerEntry

RETURN_S = 2.5  # seconds after an outage in which lapsed registrations come back


@dataclass(frozen=True, slots=True)
class _Removal:
    revision: int
    at: float
    entry: ServerEntry | None
    may_return: bool


class ServerDirectory:
    """Hold the newest registration of each server, by revision.

    What is told twice or out of order changes nothing. A registration may lapse while
    the platform is away though its server lives; such a server is kept in use until
    `RETURN_S` after the return, and is gone if it is still missing then.
    """

    def __init__(self) -> None:
        self._entries: dict[str, tuple[int, ServerEntry]] = {}
        self._services: dict[str, dict[str, ServerEntry]] = {}
        self._removed: dict[str, _Removal] = {}
        self.changes = 0

    def put(self, entry: ServerEntry, revision: int) -> bool:
        """Take a registration; return whether it is news."""
        if revision <= self._revision_of(entry.server):
            return False
        self._forget(entry.server)
        self._removed.pop(entry.server, None)
        self._entries[entry.server] = (revision, entry)
        self._services.setdefault(entry.service, {})[entry.server] = entry
        self.changes += 1
        return True

    def remove(self, server: str, revision: int, now: float, may_return: bool) -> bool:
        """Take the end of a registration; return whether it is news.

        `may_return` is true if the platform was away a moment ago, so that the
        registration may have lapsed though its server lives.
        """
        if revision <= self._revision_of(server):
            return False
        known = self._entries.get(server)
        kept = known[1] if known is not None and may_return else None
        if kept is None:
            self._forget(server)
        self._entries.pop(server, None)
        self._removed[server] = _Removal(revision, now, kept, may_return)
        self.changes += 1
        return True

    def expire(self, now: float) -> list[str]:
        """Let go of servers whose registrations did not come back."""
        gone = []
        for server, removal in self._removed.items():
            if removal.entry is not None and now - removal.at > RETURN_S:
                gone.append(server)
        for server in gone:
            removal = self._removed[server]
            assert removal.entry is not None
            self._services.get(removal.entry.service, {}).pop(server, None)
            self._removed[server] = _Removal(removal.revision, removal.at, None, False)
            self.changes += 1
        return gone

    def servers_of(self, service: str) -> dict[str, ServerEntry]:
        """Return the registered servers of a service by their ids."""
        return self._services.get(service, {})

    def get(self, server: str) -> ServerEntry | None:
        """Return the registration of a server."""
        known = self._entries.get(server)
        return known[1] if known is not None else None

    def is_awaited(self, server: str) -> bool:
        """Return whether the registration of a server may still come back."""
        removal = self._removed.get(server)
        return removal is not None and removal.entry is not None

    def entries(self) -> list[tuple[ServerEntry, int]]:
        """Return all registrations with their revisions."""
        return [(entry, revision) for revision, entry in self._entries.values()]

    def revisions(self) -> dict[str, int]:
        """Return the revision of each registration."""
        return {server: revision for server, (revision, _) in self._entries.items()}

    def _revision_of(self, server: str) -> int:
        known = self._entries.get(server)
        if known is not None:
            return known[0]
        removal = self._removed.get(server)
        return removal.revision if removal is not None else 0

    def _forget(self, server: str) -> None:
        known = self._entries.get(server)
        removal = self._removed.get(server)
        entry = known[1] if known is not None else removal and removal.entry
        if entry:
            self._services.get(entry.service, {}).pop(server, None)
