"""Share the requests of a route among services by their weights."""

from currantwharf.gateway.route import WeightedService


class WeightedRoundRobin:
    """Take services in turn so that every stretch of turns is near the weights.

    Each turn adds its weight to each service; the highest has the turn and gives the
    sum back (smooth weighted round robin).

    >>> turn = WeightedTurn((WeightedService("a", 2), WeightedService("b", 1)))
    >>> [turn.next() for _ in range(6)]
    ['a', 'b', 'a', 'a', 'b', 'a']
    """

    def __init__(self, services: tuple[WeightedService, ...]) -> None:
        self._services = services
        self._credit = {service.service: 0.0 for service in services}
        self._total = sum(service.weight for service in services)

    def next(self) -> str:
        """Return the service that has the next turn."""
        credit = self._credit
        for service in self._services:
            credit[service.service] += service.weight
        best = max(credit, key=lambda name: credit[name])
        credit[best] -= self._total
        return best
