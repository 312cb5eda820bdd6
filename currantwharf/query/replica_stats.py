"""Latency and failure statistics of backend servers, kept by an entry instance."""

import math
from dataclasses import dataclass

SMOOTHING_FACTOR = 0.2  # weight of a new latency in the moving average
DECAY_TIME_S = (
    8.0  # time constant after which the latency of an unused server is forgotten
)
FAILURE_LATENCY_MS = 1000.0  # latency recorded for a failed request
EJECT_AFTER_FAILURES = 3  # consecutive failures
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 20.0


@dataclass(slots=True)
class ServerStat:
    """Statistics from the answers of one backend server.

    `outstanding` counts the requests of this instance that are not answered yet.
    `queue` is the queue length that the owner of the server reported last.
    """

    latency_ms: float = 0.0
    outstanding: int = 0
    queue: int = 0
    failures: int = 0
    ejected_until: float = 0.0
    seen_at: float = 0.0


class ReplicaStats:
    """Rank servers by the answers that they give; health endpoints are not used.

    The rank includes the latency and not the number of outstanding requests alone,
    because a slow server with few outstanding requests is still slow. A server that
    fails fast is treated as slow, so that it does not attract load.
    """

    def __init__(self) -> None:
        self._stats: dict[str, ServerStat] = {}

    def get(self, server: str) -> ServerStat:
        """Return the statistics of `server`, created empty on first use."""
        stat = self._stats.get(server)
        if stat is None:
            stat = self._stats[server] = ServerStat()
        return stat

    def on_send(self, server: str) -> None:
        """Record that a request was sent to `server`."""
        self.get(server).outstanding += 1

    def on_end(self, server: str) -> None:
        """Record that a request to `server` is no longer outstanding."""
        stat = self.get(server)
        stat.outstanding = max(0, stat.outstanding - 1)

    def on_answer(self, server: str, latency_ms: float, queue: int, now: float) -> None:
        """Record an answer and the queue length reported by the owner of the server."""
        stat = self.get(server)
        stat.failures = 0
        stat.ejected_until = 0.0
        stat.queue = queue
        self._update_latency(stat, latency_ms, now)

    def on_slow(self, server: str, waited_ms: float, now: float) -> None:
        """Record that `server` has not answered after `waited_ms` milliseconds."""
        stat = self.get(server)
        if waited_ms > stat.latency_ms:
            self._update_latency(stat, waited_ms, now)

    def on_failure(self, server: str, now: float) -> None:
        """Record a failure.

        After EJECT_AFTER_FAILURES consecutive failures the server is ejected; the
        time doubles with each further failure, up to MAX_EJECTION_S.
        """
        stat = self.get(server)
        stat.failures += 1
        self._update_latency(stat, FAILURE_LATENCY_MS, now)
        if stat.failures >= EJECT_AFTER_FAILURES:
            doublings = min(stat.failures - EJECT_AFTER_FAILURES, 8)
            ejection_s = min(FIRST_EJECTION_S * 2**doublings, MAX_EJECTION_S)
            stat.ejected_until = now + ejection_s

    def cost(self, server: str, now: float) -> float:
        """Return the estimated latency in milliseconds of one more request to `server`.

        An ejected server costs more than any other, so it is used only when all
        replicas of a shard are ejected. Ejection therefore never leaves a shard
        without a replica.
        """
        stat = self._stats.get(server)
        if stat is None:
            return 0.0
        if now < stat.ejected_until:
            return 1e9 + stat.ejected_until
        age_s = max(0.0, now - stat.seen_at)
        decayed_latency_ms = stat.latency_ms * math.exp(-age_s / DECAY_TIME_S)
        return (decayed_latency_ms + 0.1) * (1 + stat.outstanding + stat.queue)

    def _update_latency(self, stat: ServerStat, latency_ms: float, now: float) -> None:
        if stat.seen_at == 0.0:
            stat.latency_ms = latency_ms
        stat.latency_ms += SMOOTHING_FACTOR * (latency_ms - stat.latency_ms)
        stat.seen_at = now
