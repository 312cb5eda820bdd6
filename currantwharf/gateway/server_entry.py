"""One backend server, as it is registered."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """Hold one registration of a backend server.

    `server` is the id of this start of it. `warm_up_s` tells how long it stays cold
    after the registration was written, in seconds.
    """

    server: str
    service: str
    address: tuple[str, int]
    data_centre: str
    slots: int
    leaving: bool = False
    warm_up_s: float = 0.0
