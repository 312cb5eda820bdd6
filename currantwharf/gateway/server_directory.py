"""A directory of the registered backend servers, by service."""

from dataclasses import dataclass, replace

from currantwharf.gateway.server_entry import ServerEntry

# After an outage, a server whose registration lapsed is kept for this long.
REREGISTRATION_WINDOW_S = 2.5


@dataclass(frozen=True, slots=True)
class _Removal:
    revision: int
    removed_at: float
    kept_entry: ServerEntry | None
    may_return: bool
    last_entry: ServerEntry | None


class ServerDirectory:
    """The newest registration of each server, by store revision.

    Duplicate and out-of-order changes have no effect. A registration may lapse during
    an outage of the platform although its server is alive. Such a server stays in use
    for `REREGISTRATION_WINDOW_S` after its removal, and is dropped if it has not
    registered again by then. `change_count` counts the changes applied.
    """

    def __init__(self) -> None:
        self._entries: dict[str, tuple[int, ServerEntry]] = {}
        self._entries_by_service: dict[str, dict[str, ServerEntry]] = {}
        self._removed: dict[str, _Removal] = {}
        self.change_count = 0

    def put(self, entry: ServerEntry, revision: int) -> bool:
        """Store a registration; return whether it is newer than the known one."""
        if revision <= self._last_revision(entry.server):
            return False
        self._remove_from_service(entry.server)
        self._removed.pop(entry.server, None)
        self._entries[entry.server] = (revision, entry)
        self._entries_by_service.setdefault(entry.service, {})[entry.server] = entry
        self.change_count += 1
        return True

    def remove(self, server: str, revision: int, now: float, may_return: bool) -> bool:
        """Remove a registration; return whether the removal is newer than it.

        `may_return` is true if the platform was unavailable shortly before, so that the
        registration may have lapsed although its server is alive.
        """
        if revision <= self._last_revision(server):
            return False
        registered = self._entries.get(server)
        kept = registered[1] if registered is not None and may_return else None
        if kept is None:
            self._remove_from_service(server)
        self._entries.pop(server, None)
        last = registered[1] if registered is not None else self._last_entry(server)
        self._removed[server] = _Removal(revision, now, kept, may_return, last)
        self.change_count += 1
        return True

    def mark_left(self, server: str, now: float) -> None:
        """Use a server no more, until any later change of its registration."""
        last = self.find_last(server)
        self._remove_from_service(server)
        self._entries.pop(server, None)
        self._removed[server] = _Removal(0, now, None, False, last)
        self.change_count += 1

    def expire(self, now: float) -> list[str]:
        """Drop and return the servers that did not register again in time."""
        expired = []
        for server, removal in self._removed.items():
            if (
                removal.kept_entry is not None
                and now - removal.removed_at > REREGISTRATION_WINDOW_S
            ):
                expired.append(server)
        for server in expired:
            removal = self._removed[server]
            assert removal.kept_entry is not None
            self._entries_by_service.get(removal.kept_entry.service, {}).pop(
                server, None
            )
            self._removed[server] = replace(removal, kept_entry=None, may_return=False)
            self.change_count += 1
        return expired

    def reset_revisions(self) -> None:
        """Count all known changes as older than any that follows."""
        self._entries = {
            server: (0, entry) for server, (_, entry) in self._entries.items()
        }
        self._removed = {
            server: replace(removal, revision=0)
            for server, removal in self._removed.items()
        }

    def get_servers(self, service: str) -> dict[str, ServerEntry]:
        """Return the usable servers of a service by their ids."""
        return self._entries_by_service.get(service, {})

    def get(self, server: str) -> ServerEntry | None:
        """Return the registration of a server, or None."""
        registered = self._entries.get(server)
        return registered[1] if registered is not None else None

    def find_used(self, server: str) -> ServerEntry | None:
        """Return the entry of a server that is in use, registered or kept, or None."""
        registered = self._entries.get(server)
        if registered is not None:
            return registered[1]
        removal = self._removed.get(server)
        return removal.kept_entry if removal is not None else None

    def find_last(self, server: str) -> ServerEntry | None:
        """Return the last known registration of a server, in use or not, or None."""
        return self.find_used(server) or self._last_entry(server)

    def holds(self, entry: ServerEntry) -> bool:
        """Return whether this registration is known, or one that was written later."""
        known = self.get(entry.server)
        return known is not None and (entry == known or entry.written < known.written)

    def has_left(self, entry: ServerEntry) -> bool:
        """Return whether a server was removed after it wrote this registration."""
        last = self._last_entry(entry.server)
        is_used = self.find_used(entry.server) is not None
        return last is not None and not is_used and entry.written <= last.written

    def is_return_pending(self, server: str) -> bool:
        """Return whether a removed server is kept in case it registers again."""
        removal = self._removed.get(server)
        return removal is not None and removal.kept_entry is not None

    def list_entries(self) -> list[tuple[ServerEntry, int]]:
        """Return all registrations with their revisions."""
        return [(entry, revision) for revision, entry in self._entries.values()]

    def get_revisions(self) -> dict[str, int]:
        """Return the revision of each registration."""
        return {server: revision for server, (revision, _) in self._entries.items()}

    def _last_revision(self, server: str) -> int:
        registered = self._entries.get(server)
        if registered is not None:
            return registered[0]
        removal = self._removed.get(server)
        return removal.revision if removal is not None else 0

    def _last_entry(self, server: str) -> ServerEntry | None:
        removal = self._removed.get(server)
        return removal.last_entry if removal is not None else None

    def _remove_from_service(self, server: str) -> None:
        entry = self.find_used(server)
        if entry:
            self._entries_by_service.get(entry.service, {}).pop(server, None)
