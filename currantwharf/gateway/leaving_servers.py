"""Servers that say in their answers that they leave.

The load: a server that is about to stop serves on for a declared time. The store may be
away or out of reach then, so its answers are the only notice. Other servers are
preferred at once; one that is the only one left for a request still gets it for a
part of that time.
"""

from collections.abc import Callable

from currantwharf.gateway.server_entry import ServerEntry
from currantwharf.runtime.component_log import component_logger

# Part of the time for which a leaving server serves on. The rest is for requests that
# wait for a connection, and for the way.
USABLE_DRAIN_RATIO = 0.5

# How long a notice is kept of a server without a registration, which may only have
# lapsed. Servers that leave serve on for many seconds.
NOTICE_TIME_TO_LIVE_S = 300.0

log = component_logger("leaving")


class LeavingServers:
    """When each server was first seen to leave, for one start of it.

    >>> entry = ServerEntry("s1", "camphor", ("127.0.0.1", 80), "taipei-a", 2)
    >>> servers = LeavingServers()
    >>> servers.on_notice(entry, 10.0)
    >>> servers.is_leaving(entry), servers.is_drained(entry, 4.0, 11.0)
    (True, False)
    >>> servers.is_drained(entry, 4.0, 12.0)
    True
    """

    def __init__(self) -> None:
        self._noticed: dict[str, tuple[str, float]] = {}

    def on_notice(self, entry: ServerEntry, now: float) -> None:
        """Record that an answer of a server says that it leaves."""
        if not self.is_leaving(entry):
            self._noticed[entry.server] = (entry.boot, now)
            fields = {"server": entry.server, "service": entry.service}
            log.info("server says that it leaves", extra=fields)

    def is_leaving(self, entry: ServerEntry) -> bool:
        """Return whether this start of a server has said that it leaves."""
        noticed = self._noticed.get(entry.server)
        return noticed is not None and noticed[0] == entry.boot

    def is_drained(self, entry: ServerEntry, drain_s: float, now: float) -> bool:
        """Return whether a server that serves on for `drain_s` gets nothing more."""
        if not self.is_leaving(entry):
            return False
        return now - self._noticed[entry.server][1] >= drain_s * USABLE_DRAIN_RATIO

    def expire(self, is_registered: Callable[[str], bool], now: float) -> None:
        """Drop what servers have said that are gone for good."""
        for server, (_, noticed_at) in list(self._noticed.items()):
            if now - noticed_at > NOTICE_TIME_TO_LIVE_S and not is_registered(server):
                del self._noticed[server]
