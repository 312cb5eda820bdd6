"""The handover of a backend server from one owner to the next."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerReleased:
    """Tell the new owner that the sender no longer sends to `server`.

    `limit` is the concurrency limit that the sender had reached and `boot_id` the
    boot of the server for which it holds, so that a server that stayed warm is not
    ramped up again.
    """

    server: str
    limit: float
    boot_id: str
