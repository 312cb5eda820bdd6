"""The share of what the fleet may use that is this instance's."""

from dataclasses import dataclass

ASSUMED_CALLERS = 12  # instances that call each server, until the fleet is known


@dataclass(frozen=True, slots=True)
class FleetShares:
    """This instance's fractions of what all instances together may use.

    `repeats` is its share of the budgets of repeats, `cold_calls` that of the requests
    that cold servers bear, `shard_calls` that of a shard's servers and of all
    connections, and `service_calls` that of the servers of other services, which every
    instance calls alike.

    >>> FleetShares(0.2, 0.25, 0.05, 0.02).limit_to(0.01)
    FleetShares(repeats=0.01, cold_calls=0.01, shard_calls=0.05, service_calls=0.02)
    """

    repeats: float = 0.0
    cold_calls: float = 0.0
    shard_calls: float = 0.0
    service_calls: float = 0.0

    def limit_to(self, budget: float) -> "FleetShares":
        """Return the shares for a time in which the size of the fleet is not known.

        Other instances may run without being known yet, for example when all instances
        restart at the same time.
        """
        return FleetShares(
            min(self.repeats, budget),
            min(self.cold_calls, budget),
            min(self.shard_calls, 1 / ASSUMED_CALLERS),
            min(self.service_calls, 1 / ASSUMED_CALLERS),
        )
