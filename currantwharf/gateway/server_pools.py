"""This instance's connection pools to the backend servers."""

from collections.abc import Callable
from typing import Any

from currantwharf.gateway.server_choice import ServerChooser
from currantwharf.gateway.server_entry import ServerEntry
from currantwharf.http1 import ConnectionPool
from currantwharf.runtime.clock import Clock

# The part of a server's connection limit that the fleet uses; the rest is headroom.
USABLE_CONNECTIONS_RATIO = 0.9
MAX_CONNECTIONS_PER_SERVER = 32  # an instance never needs more to one server


class ServerPools:
    """A connection pool for each backend server that was sent a request.

    `get_max_connections` returns how many connections a server of a given service
    accepts from all callers together.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        chooser: ServerChooser,
        get_max_connections: Callable[[str], int],
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._chooser = chooser
        self._get_max_connections = get_max_connections
        self._share = 0.1
        self._pools: dict[str, ConnectionPool] = {}

    def get(self, entry: ServerEntry) -> ConnectionPool:
        """Return the pool of a server, creating it if there is none."""
        pool = self._pools.get(entry.server)
        if pool is None:
            max_connections = self._connection_limit(entry.service)
            pool = ConnectionPool(
                self._reactor,
                self._clock.now,
                entry.address,
                max_connections,
                lambda duration_s: self._chooser.on_connected(
                    entry.data_centre, duration_s
                ),
                lambda: self._chooser.on_unreachable(entry.server, self._clock.now()),
            )
            self._pools[entry.server] = pool
        return pool

    def has_free_connection(self, server: str) -> bool:
        """Return whether a server has an open connection that is free."""
        pool = self._pools.get(server)
        return pool is not None and pool.has_free_connection

    def set_share(self, share: float) -> None:
        """Set the share of each server's connections that this instance may open."""
        self._share = share
        for server, pool in self._pools.items():
            entry = self._chooser.directory.get(server)
            if entry is not None:
                pool.max_connections = self._connection_limit(entry.service)

    def close(self, server: str) -> None:
        """Close the pool of a removed server; busy connections close when free.

        Requests that wait for a connection to it are not sent.
        """
        pool = self._pools.pop(server, None)
        if pool is not None:
            pool.close()

    def sweep(self, now: float) -> None:
        """Close idle connections that their servers would soon close."""
        for pool in self._pools.values():
            pool.close_idle(now)

    def drop_unsendable(self, now: float) -> None:
        """Fail the waiting requests that their servers may not get any more."""
        for pool in list(self._pools.values()):
            pool.drop_unsendable(now)

    def close_all(self) -> None:
        """Close the pools of all servers."""
        for server in list(self._pools):
            self.close(server)

    def _connection_limit(self, service: str) -> int:
        fair_share = int(
            self._get_max_connections(service) * USABLE_CONNECTIONS_RATIO * self._share
        )
        return max(1, min(MAX_CONNECTIONS_PER_SERVER, fair_share))
