"""Detection of requests that crash the backend servers that run them.

A request is identified by the fingerprint of its content and by its shard, not by its
id. Losses are counted across all instances: an owner that loses a server reports it at
once to the owners of the shard's other replicas, and every heartbeat carries the newest
losses. An answer clears the record of a request, because a request that crashes servers
never gets one.
"""

from dataclasses import dataclass

from currantwharf.policy.crash_report import CrashReport

LOSSES_BEFORE_HOLD = 2  # servers that a request may crash before it is held
LOSS_TTL_S = 600.0
MAX_RECORDS = 256  # requests with a recorded loss
MAX_REPORTS_PER_HEARTBEAT = 8


@dataclass(frozen=True, slots=True)
class Loss:
    """Loss of one boot of a server, with its time on the monotonic clock."""

    boot: str
    lost_at: float


def extract_fingerprint(key: str) -> str:
    """Return the fingerprint in a key; operators publish it to release a request."""
    return key.partition("@")[0]


class CrashTable:
    """Table of server losses, by the request that the server was running.

    After `losses_before_hold` losses a request is held: it is not run any more.

    >>> table = CrashTable()
    >>> table.record_loss("f@camphor/0", "s1/boot-1", 0.0)
    1
    >>> table.is_held("f@camphor/0", 1.0)
    False
    >>> table.record_loss("f@camphor/0", "s2/boot-1", 1.0)
    2
    >>> table.is_held("f@camphor/0", 1.0)
    True
    """

    def __init__(self, losses_before_hold: int = LOSSES_BEFORE_HOLD) -> None:
        self._losses_before_hold = losses_before_hold
        self._losses: dict[str, dict[str, Loss]] = {}
        self._released: frozenset[str] = frozenset()

    def record_loss(self, key: str, boot: str, now: float) -> int:
        """Record the loss of one boot of a server that was running a request.

        Return the number of the request's losses, or 0 if this one was known or its
        request is released.
        """
        if extract_fingerprint(key) in self._released:
            return 0
        if key not in self._losses and len(self._losses) >= MAX_RECORDS:
            self._drop_record()
        losses = self._losses.setdefault(key, {})
        if boot in losses:
            return 0
        losses[boot] = Loss(boot, now)
        return len(losses)

    def _drop_record(self) -> None:
        """Drop the oldest request that is not held, or the oldest one if all are."""
        not_held = (
            key
            for key, losses in self._losses.items()
            if len(losses) < self._losses_before_hold
        )
        del self._losses[next(not_held, next(iter(self._losses)))]

    def record_answer(self, key: str) -> None:
        """Clear the losses of a request that was answered, unless it is held."""
        if len(self._losses.get(key, ())) < self._losses_before_hold:
            self._losses.pop(key, None)

    def clear(self, key: str) -> str | None:
        """Clear the losses of a request, also if it is held.

        Return the boot that was lost first, or None if no loss was known.
        """
        losses = self._losses.pop(key, None)
        return next(iter(losses)) if losses else None

    def merge_reports(
        self, reports: tuple[CrashReport, ...], now: float
    ) -> list[tuple[CrashReport, int]]:
        """Record the losses that another instance has reported.

        Return those that were unknown, each with the number of its request's losses.
        """
        counts = (
            (report, self.record_loss(report.key, report.boot, now - report.age_s))
            for report in reports
        )
        return [(report, count) for report, count in counts if count]

    def release(self, fingerprints: tuple[str, ...]) -> None:
        """Set the fingerprints that operators have released.

        The losses of their requests are cleared, and later ones are not recorded.
        """
        self._released = frozenset(fingerprints)
        for key in list(self._losses):
            if extract_fingerprint(key) in self._released:
                del self._losses[key]

    def is_held(self, key: str, now: float) -> bool:
        """Return whether a request is held because it has crashed servers."""
        losses = self._losses.get(key)
        if losses is None or len(losses) < self._losses_before_hold:
            return False
        recent = [loss for loss in losses.values() if now - loss.lost_at < LOSS_TTL_S]
        if not recent:
            del self._losses[key]
        return len(recent) >= self._losses_before_hold

    def list_held_keys(self, now: float) -> list[str]:
        """Return the keys of all held requests, for the operators' status."""
        return [key for key in list(self._losses) if self.is_held(key, now)]

    def count_losses(self, now: float) -> int:
        """Return the number of losses of all requests."""
        return sum(
            now - loss.lost_at < LOSS_TTL_S
            for losses_by_boot in self._losses.values()
            for loss in losses_by_boot.values()
        )

    def list_reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return all losses, the newest first, as reports for other instances."""
        losses = [
            (loss.lost_at, key, loss.boot)
            for key, losses_by_boot in self._losses.items()
            for loss in losses_by_boot.values()
            if now - loss.lost_at < LOSS_TTL_S
        ]
        losses.sort(reverse=True)
        return tuple(CrashReport(key, boot, now - at) for at, key, boot in losses)

    def list_recent_reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return the newest losses, as reports for other instances."""
        return self.list_reports(now)[:MAX_REPORTS_PER_HEARTBEAT]
