"""Smooth weighted round robin over the services of a route."""

from currantwharf.gateway.route import WeightedService


class WeightedRoundRobin:
    """Choose services in turn so that any run of turns is close to the weights.

    Each turn adds every service's weight to its credit; the service with the highest
    credit is chosen and pays the total weight.

    >>> services = WeightedRoundRobin(
    ...     (WeightedService("a", 2), WeightedService("b", 1))
    ... )
    >>> [services.next() for _ in range(6)]
    ['a', 'b', 'a', 'a', 'b', 'a']
    """

    def __init__(self, services: tuple[WeightedService, ...]) -> None:
        self.restart(services)

    def restart(self, services: tuple[WeightedService, ...]) -> None:
        """Begin anew with these services and weights."""
        self.services = services
        self._credit = {service.service: 0.0 for service in services}
        self._total_weight = sum(service.weight for service in services)

    def next(self) -> str:
        """Return the service of the next turn."""
        credit = self._credit
        for service in self.services:
            credit[service.service] += service.weight
        best = max(credit, key=lambda name: credit[name])
        credit[best] -= self._total_weight
        return best
