"""The registration of a backend server."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One registration of a backend server.

    `server` is its id. `leaving` is
    true once the server is to get no new requests. `warm_up_s` is how long the server
    stays cold after the registration was written, in seconds. `started_ms` is the Unix
    time in milliseconds at which the server process started, 0 if unknown: a server may
    start again under the id that it had. `sequence` is the server's own count of its
    registrations since then.
    """

    server: str
    service: str
    address: tuple[str, int]
    data_centre: str
    slots: int
    leaving: bool = False
    warm_up_s: float = 0.0
    started_ms: int = 0
    sequence: int = 0

    @property
    def boot(self) -> str:
        """The id of this start of the server process."""
        return f"{self.server}/{self.started_ms}" if self.started_ms else self.server

    @property
    def written(self) -> tuple[int, int]:
        """The server's own order of its registrations."""
        return self.started_ms, self.sequence

    def is_restart_of(self, other: "ServerEntry") -> bool:
        """Return whether `other` is an earlier start of the same server."""
        return self.server == other.server and self.started_ms > other.started_ms > 0
