"""Choice of the replica of a shard and of the owner through which to reach it."""

from collections.abc import Callable, Collection
from dataclasses import dataclass

from currantwharf.config import PublishedConfig, VersionedConfig
from currantwharf.query.replica_stats import ReplicaStats


@dataclass(frozen=True, slots=True)
class Route:
    """A backend server and the instance that owns it."""

    server: str
    owner: str


class Router:
    """Choose among replicas by the newest configuration and the server statistics.

    `current_config` returns the newest configuration, `find_owner` the owner of a
    server. `is_silent` returns whether a peer has left calls unacknowledged,
    `is_leaving` whether the platform lists a server as leaving. The newest
    configuration decides which servers can receive work, also for a query that has
    pinned an older one.
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
        self._find_owner = find_owner
        self._is_silent = is_silent
        self._is_leaving = is_leaving

    def choose_route(
        self, servers: Collection[str], avoid: Collection[str], now: float
    ) -> Route | None:
        """Return the cheapest route to one of `servers` that is not in `avoid`.

        Servers whose owner is silent are used only if no other is available.
        """
        versioned = self.current_config()
        if versioned is None:
            return None
        best: Route | None = None
        best_cost = (True, 0.0)
        for server in servers:
            route = (
                None if server in avoid else self._find_route(server, versioned.config)
            )
            if route is None:
                continue
            cost = (self._is_silent(route.owner), self.stats.estimate_cost(server, now))
            if best is None or cost < best_cost:
                best, best_cost = route, cost
        return best

    def _find_route(self, server: str, config: PublishedConfig) -> Route | None:
        if not self.can_receive_work(server, config):
            return None
        owner = self._find_owner(server, config)
        return Route(server, owner) if owner is not None else None

    def can_receive_work(self, server: str, config: PublishedConfig) -> bool:
        """Return whether a server can receive new requests.

        It must be declared and not be leaving, and its data centre in service.
        """
        declared = config.servers.get(server)
        if declared is None or declared.leaving or self._is_leaving(server):
            return False
        return config.data_centres[declared.data_centre].in_service
