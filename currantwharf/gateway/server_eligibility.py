"""Which backend servers may get a request, and why the others may not.

One decision for all rules: what a server's registration, its answers and the operator
have said, and the rates that all instances together may send it.
"""

from collections.abc import Callable, Collection, Mapping

from currantwharf.gateway.cold_limit import ColdLimit
from currantwharf.gateway.ineligibility import Ineligibility
from currantwharf.gateway.leaving_servers import LeavingServers
from currantwharf.gateway.route import Route
from currantwharf.gateway.server_directory import ServerDirectory
from currantwharf.gateway.server_entry import ServerEntry
from currantwharf.gateway.server_limits import ServerLimits
from currantwharf.gateway.turned_away import TurnedAway


class ServerEligibility:
    """What keeps servers from getting requests.

    `regions` maps data centres to regions, and `is_cold` returns whether a server is
    cold. `drain_s` is how long a server serves on that says in its answers that it
    leaves. `excluded_data_centres` are out of service: their servers get no requests.
    """

    def __init__(
        self,
        directory: ServerDirectory,
        regions: Mapping[str, str],
        instance: str,
        drain_s: float,
        is_cold: Callable[[ServerEntry, float], bool],
    ) -> None:
        self.cold_limit = ColdLimit(instance)
        self.server_limits = ServerLimits(instance)
        self.leaving_servers = LeavingServers()
        self.turned_away = TurnedAway()
        self.excluded_data_centres: set[str] = set()
        self.drain_s = drain_s
        self._directory = directory
        self._regions = regions
        self._is_cold = is_cold
        self._misdirected_servers: set[str] = set()

    def find_ineligibility(
        self, entry: ServerEntry, route: Route, tried: Collection[str], now: float
    ) -> Ineligibility | None:
        """Return why a server may not get a request of `route`, or None if it may."""
        if entry.server in tried:
            return Ineligibility.TRIED
        return self._find_refusal(entry, route, now) or self._find_spent_rate(
            entry, (), now
        )

    def find_obstacle(
        self,
        entry: ServerEntry,
        route: Route,
        counted: Collection[Ineligibility],
        now: float,
    ) -> Ineligibility | None:
        """Return why a server may not get a request that was placed there before.

        The load: requests wait for connections for seconds, while servers drain, leave,
        name limits or turn this instance away, and data centres are evacuated.
        `counted` are the rates that the request was counted against when it was placed.
        """
        known = self._directory.find_used(entry.server)
        if known is None or known.address != entry.address:
            return Ineligibility.GONE
        return self._find_refusal(known, route, now) or self._find_spent_rate(
            known, counted, now
        )

    def is_stopped_by_limits(self, service: str, route: Route, now: float) -> bool:
        """Return whether only limits of servers keep a request of `route` back."""
        if not self.server_limits.has_any:
            return False
        reasons = [
            self.find_ineligibility(entry, route, (), now)
            for entry in self._directory.get_servers(service).values()
        ]
        return Ineligibility.LIMITED in reasons and None not in reasons

    def find_return_delay_s(
        self, service: str, route: Route, now: float
    ) -> float | None:
        """Return after how many seconds a server takes requests of `route` again.

        None unless that is known: one at least has turned this instance away, and no
        other may get a request.
        """
        if not self.turned_away.has_any:
            return None
        entries = list(self._directory.get_servers(service).values())
        reasons = [self.find_ineligibility(e, route, (), now) for e in entries]
        if None in reasons or Ineligibility.TURNED_AWAY not in reasons:
            return None
        return min(
            self.turned_away.remaining_s(entry, now)
            for entry, reason in zip(entries, reasons, strict=True)
            if reason is Ineligibility.TURNED_AWAY
        )

    def count_rates(
        self, entry: ServerEntry, counted: frozenset[Ineligibility], now: float
    ) -> frozenset[Ineligibility]:
        """Count a request against each rate in force at its server, but once.

        `counted` are the rates that have counted it; the result has the others, too.
        """
        rates = set(counted)
        has_limit = self.server_limits.get_limit(entry.server, now) is not None
        if has_limit and Ineligibility.LIMITED not in counted:
            self.server_limits.on_send(entry, now)
            rates.add(Ineligibility.LIMITED)
        if Ineligibility.COLD not in counted and self._is_cold(entry, now):
            self.cold_limit.on_send(entry, now)
            rates.add(Ineligibility.COLD)
        return frozenset(rates)

    def on_misdirected(self, server: str) -> None:
        """Record that another server has the address of a server."""
        self._misdirected_servers.add(server)

    def on_registration(self, server: str) -> None:
        """Record a new or changed registration: the address is the server's."""
        self._misdirected_servers.discard(server)

    def forget(self, server: str) -> None:
        """Delete what holds only while a server is registered."""
        self.cold_limit.forget(server)
        self._misdirected_servers.discard(server)

    def expire(self, now: float) -> None:
        """Delete what servers have said that does not hold any more."""
        self.server_limits.expire(now)
        self.turned_away.expire(now)
        self.leaving_servers.expire(
            lambda server: self._directory.find_used(server) is not None, now
        )

    def _find_refusal(
        self, entry: ServerEntry, route: Route, now: float
    ) -> Ineligibility | None:
        """Return why a server may get no request of `route` at all, or None."""
        if entry.leaving or self.leaving_servers.is_drained(entry, self.drain_s, now):
            return Ineligibility.LEAVING
        if entry.server in self._misdirected_servers:
            return Ineligibility.ADDRESS_REUSED
        if entry.data_centre in self.excluded_data_centres:
            return Ineligibility.DATA_CENTRE_OUT
        if route.regions and self._regions.get(entry.data_centre) not in route.regions:
            return Ineligibility.REGION_NOT_ALLOWED
        if self.turned_away.remaining_s(entry, now):
            return Ineligibility.TURNED_AWAY
        return None

    def _find_spent_rate(
        self, entry: ServerEntry, counted: Collection[Ineligibility], now: float
    ) -> Ineligibility | None:
        """Return the rate of a server of which this instance's share is used up.

        Rates in `counted` have counted the request already.
        """
        if (
            Ineligibility.COLD not in counted
            and self._is_cold(entry, now)
            and not self.cold_limit.can_send(entry, now)
        ):
            return Ineligibility.COLD
        if Ineligibility.LIMITED not in counted and not self.server_limits.can_send(
            entry, now
        ):
            return Ineligibility.LIMITED
        return None
