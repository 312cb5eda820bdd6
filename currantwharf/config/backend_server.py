"""A backend server in the published configuration."""

from dataclasses import dataclass
from typing import Annotated

from annotated_types import Ge, Gt


@dataclass(frozen=True, slots=True)
class BackendServer:
    """Address, data centre and capacity of one backend server.

    `address` is `host:port` with an IP address as the host. `slots` is the number of
    requests that the server runs concurrently when warm, `connections` the number of
    connections that it accepts from all instances together, and `connect_ms` the time
    in milliseconds to open a connection. `batch` is the maximum number of shard
    requests in one call. A server with `leaving` set gets no new work.
    """

    address: str
    data_centre: str
    slots: Annotated[int, Ge(1)] = 2
    connections: Annotated[int, Ge(2)] = 25
    connect_ms: Annotated[float, Gt(0)] = 6.0
    batch: Annotated[int, Ge(1)] = 1
    leaving: bool = False
