"""The handover of a backend server from one owner to the next."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerReleased:
    """Notice to a server's new owner that the sender no longer sends to `server`.

    `limit` is the concurrency limit that the sender had reached, and `boot_id` the
    boot of the server to which the limit applies. The new owner starts from this
    limit, so that a server that is still warm is not ramped up again.
    """

    server: str
    limit: float
    boot_id: str
