"""Choose the replica of a shard, and the owner through which to reach it."""

from collections.abc import Callable, Collection
from dataclasses import dataclass

from currantwharf.config import PublishedConfig, VersionedConfig
from currantwharf.query.replica_stats import ReplicaStats


@dataclass(frozen=True, slots=True)
class Route:
    """Name a backend server and the instance that owns it."""

    server: str
    owner: str


class Router:
    """Choose among replicas by the newest configuration and the evidence.

    `find_owner` answers who owns a server, `is_silent` whether a peer has left calls
    without an acknowledgement, and `is_leaving` whether the platform's list shows a
    server as leaving. Which servers may get work is always decided by the newest
    configuration, also for a query that has pinned an older one.
    """

    def __init__(
        self,
        current_config: Callable[[], VersionedConfig | None],
        find_owner: Callable[[str, PublishedConfig], str | None],
        is_silent: Callable[[str], bool],
        is_leaving: Callable[[str], bool],
    ) -> None:
        self.stats = ReplicaStats()
        self.current_config = current_config
        self._owner_of = find_owner
        self._is_silent = is_silent
        self._is_leaving = is_leaving

    def choose(
        self, servers: Collection[str], avoid: Collection[str], now: float
    ) -> Route | None:
        """Return the cheapest route to one of `servers` that is not in `avoid`."""
        versioned = self.current_config()
        if versioned is None:
            return None
        best: Route | None = None
        best_cost = (True, 0.0)
        for server in servers:
            route = None if server in avoid else self._route(server, versioned.config)
            if route is None:
                continue
            cost = (self._is_silent(route.owner), self.stats.cost(server, now))
            if best is None or cost < best_cost:
                best, best_cost = route, cost
        return best

    def _route(self, server: str, config: PublishedConfig) -> Route | None:
        if not self.can_receive_work(server, config):
            return None
        owner = self._owner_of(server, config)
        return Route(server, owner) if owner is not None else None

    def can_receive_work(self, server: str, config: PublishedConfig) -> bool:
        """Return whether a server may get new work: neither it nor its site is out."""
        declared = config.servers.get(server)
        if declared is None or declared.leaving or self._is_leaving(server):
            return False
        return config.data_centres[declared.data_centre].in_service
