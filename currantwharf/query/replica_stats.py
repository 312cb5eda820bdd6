"""What an entry instance has seen of each backend server."""

import math
from dataclasses import dataclass

WEIGHT = 0.2  # of a new latency in the average
FORGET_S = 8.0  # seconds after which an unused server looks average again
FAILURE_MS = 1000.0  # milliseconds that a failure counts for
EJECT_AFTER = 3  # failures in a row
FIRST_EJECTION_S = 1.0  # seconds
LONGEST_EJECTION_S = 20.0  # seconds


@dataclass(slots=True)
class ReplicaStat:
    """Hold the evidence of one server's own answers."""

    latency_ms: float = 0.0
    outstanding: int = 0
    queue: int = 0
    failures: int = 0
    ejected_until: float = 0.0
    seen_at: float = 0.0


class ReplicaStats:
    """Rank servers by evidence from answers; health endpoints play no part.

    Service time is in the rank, not the number of outstanding requests alone: a slow
    server with few outstanding requests is still slow. A server that fails fast
    counts as slow, so that it does not attract load.
    """

    def __init__(self) -> None:
        self._stats: dict[str, ReplicaStat] = {}

    def get(self, server: str) -> ReplicaStat:
        """Return the evidence for `server`, blank for one not seen yet."""
        stat = self._stats.get(server)
        if stat is None:
            stat = self._stats[server] = ReplicaStat()
        return stat

    def on_send(self, server: str) -> None:
        """Count a request as outstanding."""
        self.get(server).outstanding += 1

    def on_end(self, server: str) -> None:
        """Count a request as no longer outstanding."""
        stat = self.get(server)
        stat.outstanding = max(0, stat.outstanding - 1)

    def on_answer(self, server: str, latency_ms: float, queue: int, now: float) -> None:
        """Note an answer and the queue that its owner reported."""
        stat = self.get(server)
        stat.failures = 0
        stat.ejected_until = 0.0
        stat.queue = queue
        self._blend(stat, latency_ms, now)

    def on_slow(self, server: str, waited_ms: float, now: float) -> None:
        """Note that a server had not answered after `waited_ms`."""
        stat = self.get(server)
        if waited_ms > stat.latency_ms:
            self._blend(stat, waited_ms, now)

    def on_failure(self, server: str, now: float) -> None:
        """Note a failure; after some in a row the server is ejected for a while."""
        stat = self.get(server)
        stat.failures += 1
        self._blend(stat, FAILURE_MS, now)
        if stat.failures >= EJECT_AFTER:
            doublings = min(stat.failures - EJECT_AFTER, 8)
            wait = min(FIRST_EJECTION_S * 2**doublings, LONGEST_EJECTION_S)
            stat.ejected_until = now + wait

    def cost(self, server: str, now: float) -> float:
        """Return the expected time in milliseconds of one more request there.

        An ejected server costs more than any other, so it is used only when all
        replicas are ejected: that caps the ejections of a shard.
        """
        stat = self._stats.get(server)
        if stat is None:
            return 0.0
        if now < stat.ejected_until:
            return 1e9 + stat.ejected_until
        age = max(0.0, now - stat.seen_at)
        remembered = stat.latency_ms * math.exp(-age / FORGET_S)
        return (remembered + 0.1) * (1 + stat.outstanding + stat.queue)

    def _blend(self, stat: ReplicaStat, latency_ms: float, now: float) -> None:
        if stat.seen_at == 0.0:
            stat.latency_ms = latency_ms
        stat.latency_ms += WEIGHT * (latency_ms - stat.latency_ms)
        stat.seen_at = now
