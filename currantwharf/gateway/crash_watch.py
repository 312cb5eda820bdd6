"""Detection of requests that crash the backend servers which run them.

A connection that breaks under a request does not prove a crash: the server may have
lost a single answer. It counts as a crash if the server then cannot be connected to.
Losses are sent to the other instances, so a request is held everywhere after its third
crash in the whole fleet.
"""

from currantwharf.policy.crash_report import CrashReport
from currantwharf.policy.crash_table import CrashTable

CRASHES_TO_HOLD = 3  # servers that a request crashes before every instance refuses it
CONFIRM_WINDOW_S = 1.5  # within which a failed connect confirms the crash
MAX_SUSPECT_SERVERS = 512


class CrashWatch:
    """Broken requests whose server's crash is not yet confirmed or ruled out.

    `has_new_losses` is set when this instance confirms a loss; the code that sends the
    losses to other instances resets it.
    """

    def __init__(self) -> None:
        self.table = CrashTable(CRASHES_TO_HOLD)
        self.has_new_losses = False
        self._suspects_by_server: dict[str, list[tuple[str, float]]] = {}

    def on_connection_broken(self, fingerprint: str, server: str, now: float) -> None:
        """Record that a connection broke under a request."""
        if len(self._suspects_by_server) >= MAX_SUSPECT_SERVERS:
            self._suspects_by_server.pop(next(iter(self._suspects_by_server)))
        self._suspects_by_server.setdefault(server, []).append((fingerprint, now))

    def on_unreachable(self, server: str, now: float) -> None:
        """Confirm the suspected crashes of a server that cannot be reached."""
        for fingerprint, broken_at in self._suspects_by_server.pop(server, ()):
            if now - broken_at <= CONFIRM_WINDOW_S:
                self.table.record_loss(fingerprint, server, now)
                self.has_new_losses = True

    def on_answer(self, fingerprint: str, server: str) -> None:
        """Clear the server and the request, as the answer rules out a crash."""
        self._suspects_by_server.pop(server, None)
        self.table.record_answer(fingerprint)

    def is_held(self, fingerprint: str, now: float) -> bool:
        """Return whether a request is refused because it crashes servers."""
        return self.table.is_held(fingerprint, now)

    def list_recent_reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return the most recent losses, to send to other instances."""
        return self.table.list_recent_reports(now)

    def merge_reports(self, reports: tuple[CrashReport, ...], now: float) -> None:
        """Count the losses that another instance reported."""
        self.table.merge_reports(reports, now)
