"""Find out which requests crash the servers that run them.

A connection that breaks under a request is no proof: a server may have lost one answer.
It counts as a crash if the server then accepts no connection. Losses are told to the
other instances, so the third crash anywhere is the last.
"""

from currantwharf.policy.crash_report import CrashReport
from currantwharf.policy.crash_table import CrashTable

CRASHES_TO_HOLD = 3  # servers lost to a request before it is held everywhere
CONFIRM_S = 1.5  # seconds in which a refused connection still proves the crash
MOST_SUSPECTS = 512  # broken requests that wait for a proof


class CrashWatch:
    """Hold broken requests until the crash of their server is proved or not.

    `has_new_losses` is true after a new loss was proved here, until it is taken back.
    """

    def __init__(self) -> None:
        self.table = CrashTable(CRASHES_TO_HOLD)
        self.has_new_losses = False
        self._suspects: dict[str, list[tuple[str, float]]] = {}

    def on_broken(self, fingerprint: str, server: str, now: float) -> None:
        """Note that a connection broke under a request."""
        if len(self._suspects) >= MOST_SUSPECTS:
            self._suspects.pop(next(iter(self._suspects)))
        self._suspects.setdefault(server, []).append((fingerprint, now))

    def on_unreachable(self, server: str, now: float) -> None:
        """Note that a server accepted no connection."""
        for fingerprint, broken_at in self._suspects.pop(server, ()):
            if now - broken_at <= CONFIRM_S:
                self.table.record_loss(fingerprint, server, now)
                self.has_new_losses = True

    def on_answer(self, fingerprint: str, server: str) -> None:
        """Note that a server answered: it did not crash, nor did this request."""
        self._suspects.pop(server, None)
        self.table.record_answer(fingerprint)

    def is_held(self, fingerprint: str, now: float) -> bool:
        """Return whether a request is refused because it crashes servers."""
        return self.table.is_held(fingerprint, now)

    def recent_reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return the newest losses, for others."""
        return self.table.recent_reports(now)

    def merge_reports(self, losses: tuple[CrashReport, ...], now: float) -> None:
        """Count losses that another instance has told of."""
        self.table.merge_reports(losses, now)
