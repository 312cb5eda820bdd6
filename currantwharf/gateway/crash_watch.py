"""Detection of requests that crash the backend servers which run them.

A connection that breaks under a request does not prove a crash: the server may have
lost a single answer. It counts as a crash if the server then cannot be connected to, or
is found to have ended: another server has its address, its registration is removed, or
it has started again under its id.
Losses are sent to the other instances, so a request is held everywhere after its third
crash in the whole fleet.

A request that any server has just answered does not crash servers: it was under way at
servers that were lost for another reason, such as a rack without power.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, replace

from currantwharf.gateway.server_entry import ServerEntry
from currantwharf.policy.crash_report import CrashReport
from currantwharf.policy.crash_table import CrashTable
from currantwharf.runtime.component_log import component_logger

CRASHES_TO_HOLD = 3  # servers that a request crashes before every instance refuses it
CONFIRM_WINDOW_S = 1.5  # within which a failed connect confirms the crash
# Within which the end of the server confirms it. A registration lapses when the server
# has been silent for three of its intervals, 3.6 s, and may be read a second later.
END_WINDOW_S = 6.0
MAX_SUSPECT_SERVERS = 512
# Crashes under a request that was answered at most this long before do not count.
ANSWER_VALID_S = 5.0
MAX_ANSWERED_REQUESTS = 1024  # whose latest answer is remembered
MAX_CLEARED_REPORTS = 8  # told at a time

log = component_logger("crash")


@dataclass(frozen=True, slots=True)
class Suspect:
    """A request under which a connection broke.

    `boot` is the start of the server that had the request; `is_alive` is true if the
    server has answered another request that it was sent later.
    """

    fingerprint: str
    boot: str
    broken_at: float
    is_alive: bool = False


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
        self._suspects_by_server: dict[str, list[Suspect]] = {}
        self._answered_at: OrderedDict[str, float] = OrderedDict()
        self._cleared_boots: dict[str, str] = {}

    def on_connection_broken(
        self, fingerprint: str, entry: ServerEntry, now: float
    ) -> None:
        """Record that a connection broke under a request."""
        server = entry.server
        if len(self._suspects_by_server) >= MAX_SUSPECT_SERVERS:
            self._suspects_by_server.pop(next(iter(self._suspects_by_server)))
        suspects = self._suspects_by_server.setdefault(server, [])
        suspects.append(Suspect(fingerprint, entry.boot, now))
        self._report("crash suspected", "crashes_suspected", fingerprint, server)

    def on_unreachable(self, server: str, now: float) -> None:
        """Confirm the suspected crashes of a server that cannot be reached."""
        self._confirm_suspects(
            server,
            lambda suspect: (
                not suspect.is_alive and now - suspect.broken_at <= CONFIRM_WINDOW_S
            ),
            now,
        )

    def on_ended(self, server: str, now: float) -> None:
        """Confirm the suspected crashes of a server that is gone."""
        self._confirm_suspects(server, lambda suspect: not suspect.is_alive, now)

    def on_restarted(self, server: str, now: float) -> None:
        """Confirm the suspected crashes of a server that started again under its id.

        An answer after the crash does not rule it out, as it came from the new start.
        """
        self._confirm_suspects(server, lambda suspect: True, now)

    def on_server_answer(self, server: str, sent_at: float) -> None:
        """Record that a server has answered a request sent at `sent_at`.

        It did not crash under the requests whose connections had broken before.
        """
        suspects = self._suspects_by_server.get(server)
        if suspects:
            self._suspects_by_server[server] = [
                replace(s, is_alive=True) if s.broken_at <= sent_at else s
                for s in suspects
            ]

    def on_request_answered(self, fingerprint: str, now: float) -> None:
        """Clear the crashes of a request that a server has run to its end."""
        self._record_answer(fingerprint, now)
        boot = self.table.clear(fingerprint)
        if boot is not None:
            self._cleared_boots[fingerprint] = boot
            self.has_new_losses = True

    def expire(self, now: float) -> None:
        """Drop suspected crashes that were not confirmed in time, and old answers."""
        for fingerprint in list(self._cleared_boots):
            if not self._is_answered(fingerprint, now):
                del self._cleared_boots[fingerprint]
        for server, suspects in list(self._suspects_by_server.items()):
            kept = [s for s in suspects if now - s.broken_at <= END_WINDOW_S]
            for suspect in suspects[: len(suspects) - len(kept)]:
                self._report_unconfirmed(suspect, server)
            if kept:
                self._suspects_by_server[server] = kept
            else:
                del self._suspects_by_server[server]

    def is_held(self, fingerprint: str, now: float) -> bool:
        """Return whether a request is refused because it crashes servers."""
        return self.table.is_held(fingerprint, now)

    def list_recent_reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return the most recent losses and clearances, to send to other instances."""
        cleared = list(self._cleared_boots.items())[-MAX_CLEARED_REPORTS:]
        return self.table.list_recent_reports(now) + tuple(
            CrashReport(fingerprint, boot, now - self._answered_at[fingerprint], True)
            for fingerprint, boot in cleared
            if fingerprint in self._answered_at
        )

    def merge_reports(self, reports: tuple[CrashReport, ...], now: float) -> None:
        """Count the losses that another instance reported, and drop cleared ones."""
        for report in reports:
            if report.is_cleared and not self._is_answered(report.key, now):
                self._record_answer(report.key, now - report.age_s)
                self.table.clear(report.key)
        losses = tuple(
            report
            for report in reports
            if not report.is_cleared
            and not self._is_answered(report.key, now - report.age_s)
        )
        for report, count in self.table.merge_reports(losses, now):
            self._report_crash(report.key, report.boot, count, report.age_s)

    def _record_answer(self, fingerprint: str, answered_at: float) -> None:
        self._answered_at[fingerprint] = answered_at
        self._answered_at.move_to_end(fingerprint)
        if len(self._answered_at) > MAX_ANSWERED_REQUESTS:
            self._answered_at.popitem(last=False)

    def _is_answered(self, fingerprint: str, broken_at: float) -> bool:
        answered_at = self._answered_at.get(fingerprint)
        return answered_at is not None and broken_at - answered_at < ANSWER_VALID_S

    def _confirm_suspects(
        self, server: str, is_crash: Callable[[Suspect], bool], now: float
    ) -> None:
        """Count the suspected crashes for which `is_crash` is true; keep the others."""
        kept = []
        for suspect in self._suspects_by_server.pop(server, ()):
            if is_crash(suspect):
                self._confirm(suspect, server, now)
            else:
                kept.append(suspect)
        if kept:
            self._suspects_by_server[server] = kept

    def _confirm(self, suspect: Suspect, server: str, now: float) -> None:
        fingerprint = suspect.fingerprint
        if self._is_answered(fingerprint, suspect.broken_at):
            self._report_unconfirmed(replace(suspect, is_alive=True), server)
            return
        count = self.table.record_loss(fingerprint, suspect.boot, now)
        if count:
            self.has_new_losses = True
            self._report_crash(fingerprint, suspect.boot, count)

    def _report(
        self, message: str, event: str, fingerprint: str, server: str, **fields: object
    ) -> None:
        log.info(message, extra={"request": fingerprint, "server": server, **fields})
        self.on_event(event)

    def _report_unconfirmed(self, suspect: Suspect, server: str) -> None:
        result = "ruled out" if suspect.is_alive else "undecided"
        event = f"crashes_{result.replace(' ', '_')}"
        self._report(f"crash {result}", event, suspect.fingerprint, server)

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
