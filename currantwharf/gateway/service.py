"""A service: the properties shared by its backend servers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Service:
    """A service, as declared by the operator.

    `most_connections` is the maximum number of connections that one of its servers
    accepts from all callers together. `cold_rate` is the number of requests per second
    that a cold server can handle, or None if the operator declares none.
    """

    name: str
    most_connections: int
    cold_rate: float | None = None
