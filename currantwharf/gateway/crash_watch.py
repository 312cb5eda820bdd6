"""Detection of requests that crash the backend servers which run them.

A connection that breaks under a request does not prove a crash: the server may have
lost a single answer. It counts as a crash if the server then cannot be connected to.
Losses are sent to the other instances, so a request is held everywhere after its third
crash in the whole fleet.
"""

from collections.abc import Callable

from currantwharf.policy.crash_report import CrashReport
from currantwharf.policy.crash_table import CrashTable
from currantwharf.runtime.component_log import component_logger

CRASHES_TO_HOLD = 3  # servers that a request crashes before every instance refuses it
CONFIRM_WINDOW_S = 1.5  # within which a failed connect confirms the crash
MAX_SUSPECT_SERVERS = 512

log = component_logger("crash")


class CrashWatch:
    """Broken requests whose server's crash is not yet confirmed or ruled out.

    `has_new_losses` is set when this instance confirms a loss; the code that sends the
    losses to other instances resets it. `on_event` is called with the name of each
    event to be counted.
    """

    def __init__(self) -> None:
        self.table = CrashTable(CRASHES_TO_HOLD)
        self.has_new_losses = False
        self.on_event: Callable[[str], None] = lambda event: None
        self._suspects_by_server: dict[str, list[tuple[str, float]]] = {}

    def on_connection_broken(self, fingerprint: str, server: str, now: float) -> None:
        """Record that a connection broke under a request."""
        if len(self._suspects_by_server) >= MAX_SUSPECT_SERVERS:
            self._suspects_by_server.pop(next(iter(self._suspects_by_server)))
        self._suspects_by_server.setdefault(server, []).append((fingerprint, now))
        self._report("crash suspected", "crashes_suspected", fingerprint, server)

    def on_unreachable(self, server: str, now: float) -> None:
        """Confirm the suspected crashes of a server that cannot be reached."""
        for fingerprint, broken_at in self._suspects_by_server.pop(server, ()):
            if now - broken_at <= CONFIRM_WINDOW_S:
                count = self.table.record_loss(fingerprint, server, now)
                self.has_new_losses = True
                if count:
                    self._report_crash(fingerprint, server, count)
            else:
                self._report_undecided(fingerprint, server)

    def on_answer(self, fingerprint: str, server: str) -> None:
        """Clear the server and the request, as the answer rules out a crash."""
        for suspected, _ in self._suspects_by_server.pop(server, ()):
            self._report("crash ruled out", "crashes_ruled_out", suspected, server)
        self.table.record_answer(fingerprint)

    def expire(self, now: float) -> None:
        """Drop suspected crashes that nothing has confirmed or ruled out in time."""
        for server, suspects in list(self._suspects_by_server.items()):
            kept = [
                suspect for suspect in suspects if now - suspect[1] <= CONFIRM_WINDOW_S
            ]
            for fingerprint, _ in suspects[: len(suspects) - len(kept)]:
                self._report_undecided(fingerprint, server)
            if kept:
                self._suspects_by_server[server] = kept
            else:
                del self._suspects_by_server[server]

    def is_held(self, fingerprint: str, now: float) -> bool:
        """Return whether a request is refused because it crashes servers."""
        return self.table.is_held(fingerprint, now)

    def list_recent_reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return the most recent losses, to send to other instances."""
        return self.table.list_recent_reports(now)

    def merge_reports(self, reports: tuple[CrashReport, ...], now: float) -> None:
        """Count the losses that another instance reported."""
        for report, count in self.table.merge_reports(reports, now):
            self._report_crash(report.key, report.boot, count, report.age_s)

    def _report(
        self, message: str, event: str, fingerprint: str, server: str, **fields: object
    ) -> None:
        log.info(message, extra={"request": fingerprint, "server": server, **fields})
        self.on_event(event)

    def _report_undecided(self, fingerprint: str, server: str) -> None:
        self._report("crash undecided", "crashes_undecided", fingerprint, server)

    def _report_crash(
        self, fingerprint: str, server: str, count: int, told_age_s: float | None = None
    ) -> None:
        """Log and count a crash; `told_age_s` is set if another instance told of it."""
        told = {} if told_age_s is None else {"told_age_s": round(told_age_s, 2)}
        self._report(
            "crash counted",
            "crashes_counted",
            fingerprint,
            server,
            crashes=count,
            is_held=count >= CRASHES_TO_HOLD,
            **told,
        )
