"""What an instance tells the others of a region about silent and slow servers.

The load: in a large fleet each of two dozen hubs sends a server one or two requests a
second. A pause of 200 ms is over before a hub has noticed it twice, and a server that
turns ten times slower for some seconds is found out by each hub anew, so that each
query finds some of its shards on such servers. Together the hubs see a server often
enough. So the first silence and the first sustained slowness of a server are told to
the others at once.
"""

from collections.abc import Callable

from currantwharf.gateway.server_report import ServerReport

SILENCE_INTERVAL_S = 0.2  # between reports of one server's silence: a short pause
SLOWNESS_INTERVAL_S = 1.0  # between reports of one server's slowness
MAX_PENDING_REPORTS = 32  # as many as fit into one packet


class EvidenceSharing:
    """Reports to be sent, with a limit on their rate for each server.

    `on_pending` is called when there is a first report to send.

    >>> sharing = EvidenceSharing()
    >>> sharing.report_silent("s1", 1.0)
    >>> sharing.report_silent("s1", 1.1)
    >>> sharing.take()
    (ServerReport(server='s1', work_ms=None),)
    """

    def __init__(self) -> None:
        self.on_pending: Callable[[], None] = lambda: None
        self._pending: list[ServerReport] = []
        self._silence_reported_at: dict[str, float] = {}
        self._slowness_reported_at: dict[str, float] = {}

    def report_silent(self, server: str, now: float) -> None:
        """Report that a server leaves requests unanswered for unusually long."""
        reported_at = self._silence_reported_at.get(server)
        if reported_at is None or now - reported_at >= SILENCE_INTERVAL_S:
            self._silence_reported_at[server] = now
            self._add(ServerReport(server))

    def report_slow(self, server: str, work_s: float, now: float) -> None:
        """Report that a server's answers have been slow for longer than a pause."""
        reported_at = self._slowness_reported_at.get(server)
        if reported_at is None or now - reported_at >= SLOWNESS_INTERVAL_S:
            self._slowness_reported_at[server] = now
            self._add(ServerReport(server, max(0, round(work_s * 1000))))

    def take(self) -> tuple[ServerReport, ...]:
        """Return and remove the reports to send."""
        pending, self._pending = self._pending, []
        return tuple(pending)

    def forget(self, server: str) -> None:
        """Drop what is known of a server that is gone."""
        self._silence_reported_at.pop(server, None)
        self._slowness_reported_at.pop(server, None)

    def _add(self, report: ServerReport) -> None:
        if len(self._pending) >= MAX_PENDING_REPORTS:
            return
        self._pending.append(report)
        if len(self._pending) == 1:
            self.on_pending()
