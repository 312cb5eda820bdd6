"""Latency and failure statistics of backend servers, kept by an entry instance."""

import math
from dataclasses import dataclass

SMOOTHING_FACTOR = 0.2  # weight of a new latency in the moving average
# Time constant with which the latency of an unused server decays, so that a server that
# was slow is tried again.
DECAY_TIME_S = 8.0
FAILURE_LATENCY_MS = 1000.0  # latency recorded for a failed request
EJECT_AFTER_FAILURES = 3  # consecutive failures
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 20.0


@dataclass(slots=True)
class ReplicaRecord:
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
        self._records: dict[str, ReplicaRecord] = {}

    def get(self, server: str) -> ReplicaRecord:
        """Return the statistics of `server`, created empty on first use."""
        record = self._records.get(server)
        if record is None:
            record = self._records[server] = ReplicaRecord()
        return record

    def on_send(self, server: str) -> None:
        """Record that a request was sent to `server`."""
        self.get(server).outstanding += 1

    def on_end(self, server: str) -> None:
        """Record that a request to `server` is no longer outstanding."""
        record = self.get(server)
        record.outstanding = max(0, record.outstanding - 1)

    def on_answer(self, server: str, latency_ms: float, queue: int, now: float) -> None:
        """Record an answer and the queue length reported by the owner of the server."""
        record = self.get(server)
        record.failures = 0
        record.ejected_until = 0.0
        record.queue = queue
        self._update_latency(record, latency_ms, now)

    def on_slow(self, server: str, waited_ms: float, now: float) -> None:
        """Record that `server` has not answered after `waited_ms` milliseconds."""
        record = self.get(server)
        if waited_ms > record.latency_ms:
            self._update_latency(record, waited_ms, now)

    def on_failure(self, server: str, now: float) -> None:
        """Record a failure.

        After EJECT_AFTER_FAILURES consecutive failures the server is ejected; the
        time doubles with each further failure, up to MAX_EJECTION_S.
        """
        record = self.get(server)
        record.failures += 1
        self._update_latency(record, FAILURE_LATENCY_MS, now)
        if record.failures >= EJECT_AFTER_FAILURES:
            doublings = min(record.failures - EJECT_AFTER_FAILURES, 8)
            ejection_s = min(FIRST_EJECTION_S * 2**doublings, MAX_EJECTION_S)
            record.ejected_until = now + ejection_s

    def estimate_cost(self, server: str, now: float) -> float:
        """Return the estimated latency in milliseconds of one more request to `server`.

        An ejected server costs more than any other, so it is used only when all
        replicas of a shard are ejected. Ejection therefore never leaves a shard
        without a replica.
        """
        record = self._records.get(server)
        if record is None:
            return 0.0
        if now < record.ejected_until:
            return 1e9 + record.ejected_until
        age_s = max(0.0, now - record.seen_at)
        decayed_latency_ms = record.latency_ms * math.exp(-age_s / DECAY_TIME_S)
        return (decayed_latency_ms + 0.1) * (1 + record.outstanding + record.queue)

    def _update_latency(
        self, record: ReplicaRecord, latency_ms: float, now: float
    ) -> None:
        if record.seen_at == 0.0:
            record.latency_ms = latency_ms
        record.latency_ms += SMOOTHING_FACTOR * (latency_ms - record.latency_ms)
        record.seen_at = now
