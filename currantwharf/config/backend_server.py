"""A backend server as the operator publishes it."""

from dataclasses import dataclass
from typing import Annotated

from annotated_types import Ge, Gt


@dataclass(frozen=True, slots=True)
class BackendServer:
    """Describe one backend server.

    `address` is `host:port` by IP number. `slots` is the number of requests that
    the server runs at once when warm, `connections` the number of connections that
    it accepts over all instances, and `connect_ms` the time that a new connection
    takes in milliseconds. `batch` is the number of shard requests that one call may
    carry. A server with `leaving` set gets no new work.
    """

    address: str
    data_centre: str
    slots: Annotated[int, Ge(1)] = 2
    connections: Annotated[int, Ge(2)] = 25
    connect_ms: Annotated[float, Gt(0)] = 6.0
    batch: Annotated[int, Ge(1)] = 1
    leaving: bool = False
