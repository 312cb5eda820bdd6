"""The connections of this instance to all backend servers."""

from collections.abc import Callable
from typing import Any

from currantwharf.gateway.server_choice import ServerChooser
from currantwharf.gateway.server_entry import ServerEntry
from currantwharf.http1 import ConnectionPool
from currantwharf.runtime.clock import Clock

CONNECTION_SHARE = 0.9  # of the connections that a server accepts; the rest is slack
MOST_CONNECTIONS = 32  # to one server; one instance never needs more


class ServerPools:
    """Keep a pool of connections for each backend server that was sent a request.

    `most_of` returns the connections that a server of a service accepts in all.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        chooser: ServerChooser,
        most_of: Callable[[str], int],
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._chooser = chooser
        self._most_of = most_of
        self._share = 0.1
        self._pools: dict[str, ConnectionPool] = {}

    def get(self, entry: ServerEntry) -> ConnectionPool:
        """Return the pool of a server, new if there is none."""
        pool = self._pools.get(entry.server)
        if pool is None:
            max_connections = self._most(entry.service)
            pool = ConnectionPool(
                self._reactor,
                self._clock.now,
                entry.address,
                max_connections,
                lambda took_s: self._chooser.on_connected(entry.data_centre, took_s),
                lambda: self._chooser.on_unreachable(entry.server, self._clock.now()),
            )
            self._pools[entry.server] = pool
        return pool

    def has_free(self, server: str) -> bool:
        """Return whether a request to a server would find a connection."""
        pool = self._pools.get(server)
        return pool is not None and pool.has_free_connection

    def set_share(self, share: float) -> None:
        """Set the part of a server's connections that this instance may open."""
        self._share = share
        for server, pool in self._pools.items():
            entry = self._chooser.directory.get(server)
            if entry is not None:
                pool.max_connections = self._most(entry.service)

    def close(self, server: str) -> None:
        """Close the connections to a server that is gone, when they are free."""
        pool = self._pools.pop(server, None)
        if pool is not None:
            pool.close()

    def sweep(self, now: float) -> None:
        """Close connections that their servers would soon close."""
        for pool in self._pools.values():
            pool.close_idle(now)

    def close_all(self) -> None:
        """Close all free connections."""
        for server in list(self._pools):
            self.close(server)

    def _most(self, service: str) -> int:
        fair = int(self._most_of(service) * CONNECTION_SHARE * self._share)
        return max(1, min(MOST_CONNECTIONS, fair))
