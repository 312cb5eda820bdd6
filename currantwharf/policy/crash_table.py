"""Recognise requests that crash the backend servers which run them.

A request is known by what it asks and of which shard, not by its id. Losses are
counted over all instances: an owner that loses a server tells the owners of the
shard's other replicas at once, and every heartbeat carries the newest records. An
answer clears the record of a request, since one that crashes servers never gets any.
"""

from dataclasses import dataclass

from currantwharf.policy.crash_report import CrashReport

LOSSES_TO_HOLD = 2  # servers lost to a request before it is held
HOLD_S = 600.0  # seconds for which a loss counts
MOST_RECORDS = 256  # requests with a loss that are remembered
NEWS_PER_HEARTBEAT = 8  # losses


@dataclass(frozen=True, slots=True)
class Loss:
    """Hold one boot of a server that was lost, and when."""

    boot: str
    at: float


def extract_fingerprint(key: str) -> str:
    """Return the fingerprint in a key, which an operator publishes to release it."""
    return key.partition("@")[0]


class CrashTable:
    """Count the servers that were lost while they ran a request.

    A request is held after `losses_to_hold` of them.

    >>> table = CrashTable()
    >>> table.note_loss("f@camphor/0", "s1/boot-1", 0.0)
    >>> table.is_held("f@camphor/0", 1.0)
    False
    >>> table.note_loss("f@camphor/0", "s2/boot-1", 1.0)
    >>> table.is_held("f@camphor/0", 1.0)
    True
    """

    def __init__(self, losses_to_hold: int = LOSSES_TO_HOLD) -> None:
        self._losses_to_hold = losses_to_hold
        self._losses: dict[str, dict[str, Loss]] = {}
        self._released: frozenset[str] = frozenset()

    def record_loss(self, key: str, boot: str, now: float) -> None:
        """Count the loss of one boot of a server under a request."""
        if extract_fingerprint(key) in self._released:
            return
        if key not in self._losses and len(self._losses) >= MOST_RECORDS:
            del self._losses[next(iter(self._losses))]
        self._losses.setdefault(key, {}).setdefault(boot, Loss(boot, now))

    def record_answer(self, key: str) -> None:
        """Forget a request that was answered, unless it is held already."""
        if len(self._losses.get(key, ())) < self._losses_to_hold:
            self._losses.pop(key, None)

    def merge_reports(
        self, recent_reports: tuple[CrashReport, ...], now: float
    ) -> None:
        """Count losses that another instance has told of."""
        for loss in recent_reports:
            self.record_loss(loss.key, loss.boot, now - loss.age_s)

    def release(self, fingerprints: tuple[str, ...]) -> None:
        """Let requests go that an operator has published as released."""
        self._released = frozenset(fingerprints)
        for key in list(self._losses):
            if extract_fingerprint(key) in self._released:
                del self._losses[key]

    def is_held(self, key: str, now: float) -> bool:
        """Return whether a request is held because servers were lost to it."""
        losses = self._losses.get(key)
        if losses is None or len(losses) < self._losses_to_hold:
            return False
        recent = [loss for loss in losses.values() if now - loss.at < HOLD_S]
        if not recent:
            del self._losses[key]
        return len(recent) >= self._losses_to_hold

    def held_keys(self, now: float) -> list[str]:
        """Return the keys of all held requests, for operators."""
        return [key for key in list(self._losses) if self.is_held(key, now)]

    def recent_reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return the newest losses, to be told to others."""
        losses = [
            (loss.at, key, loss.boot)
            for key, found in self._losses.items()
            for loss in found.values()
            if now - loss.at < HOLD_S
        ]
        losses.sort(reverse=True)
        return tuple(
            CrashReport(key, boot, now - at)
            for at, key, boot in losses[:NEWS_PER_HEARTBEAT]
        )
