"""Report that a backend server was lost, as exchanged between instances."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Loss of a backend server while it was running a request.

    `key` identifies the request by its fingerprint, and by its shard if only one shard
    is involved. `boot` identifies the server and its boot. The loss happened `age_s`
    seconds ago. If `is_cleared` is true, the request was answered `age_s` seconds ago
    instead, so this loss and all others before do not count.
    """

    key: str
    boot: str
    age_s: float
    is_cleared: bool = False
