"""Bound what this instance sends to backend servers that are cold."""

from collections.abc import Callable

from currantwharf.gateway.server_entry import ServerEntry
from currantwharf.policy.rendezvous import score

LEAST_RATE = 0.1  # requests a second; an instance with less sends a cold server none
HASH_RANGE = 2**64


class ColdLimit:
    """Take this instance's share of the requests that each cold server bears.

    `get_cold_rate` returns the requests a second that a cold server of a service bears from
    all instances together, None where that is not declared. `share` is the part of
    this instance, whose name spreads the first sends of all instances over time.
    """

    def __init__(self, instance: str) -> None:
        self.get_cold_rate: Callable[[str], float | None] = lambda service: None
        self.share = 0.0
        self._instance = instance
        self._tokens: dict[str, tuple[float, float]] = {}

    def may_send(self, entry: ServerEntry, now: float) -> bool:
        """Return whether a cold server may be sent one more request."""
        rate = self._rate(entry)
        return rate is None or self._refilled(entry, rate, now) >= 1.0

    def on_send(self, entry: ServerEntry, now: float) -> None:
        """Count a request that goes to a cold server."""
        rate = self._rate(entry)
        if rate is not None:
            left = self._refilled(entry, rate, now) - 1.0
            self._tokens[entry.server] = (left, now)

    def forget(self, server: str) -> None:
        """Drop what is known of a server that is gone or warm."""
        self._tokens.pop(server, None)

    def _rate(self, entry: ServerEntry) -> float | None:
        declared = self.get_cold_rate(entry.service)
        return None if declared is None else declared * self.share

    def _refilled(self, entry: ServerEntry, rate: float, now: float) -> float:
        """Return the tokens of a bucket that holds a second's worth, or one."""
        if rate < LEAST_RATE:
            return 0.0
        known = self._tokens.get(entry.server)
        if known is None:
            known = score(self._instance, entry.server) / HASH_RANGE, now
            self._tokens[entry.server] = known
        tokens, at = known
        return min(max(1.0, rate), tokens + (now - at) * rate)
