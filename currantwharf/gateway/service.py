"""One service: what is common to its backend servers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Service:
    """Hold what the operator declares of a service.

    `most_connections` bounds the connections of all callers to one of its servers.
    `cold_rate` is the number of requests a second that a cold server bears; None
    where none is declared.
    """

    name: str
    most_connections: int
    cold_rate: float | None = None
