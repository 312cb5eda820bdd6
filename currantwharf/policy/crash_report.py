"""The loss of a backend server under a request, as instances tell each other."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Tell that a backend server was lost while it ran a request.

    `key` names the request by its fingerprint, and by its shard where only one shard
    is concerned, `boot` the server and its boot; the loss was `age_s` seconds ago.
    """

    key: str
    boot: str
    age_s: float
