"""The registration of a backend server."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One registration of a backend server.

    `server` is an id that is new for each start of the server process. `leaving` is
    true once the server is to get no new requests. `warm_up_s` is how long the server
    stays cold after the registration was written, in seconds.
    """

    server: str
    service: str
    address: tuple[str, int]
    data_centre: str
    slots: int
    leaving: bool = False
    warm_up_s: float = 0.0
