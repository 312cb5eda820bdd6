"""Fetches the crashes that this instance has not been told of from another one.

Hellos carry the newest crashes only. An instance that has started, was paused or was
cut off meanwhile lacks older ones, so hellos also carry the number of crashes that
their sender knows, and an instance that knows fewer fetches them all.
"""

from collections.abc import Callable

import msgspec

from currantwharf.documents.decode_errors import DECODE_ERRORS
from currantwharf.gateway.crash_watch import CrashWatch
from currantwharf.peers.hello import Hello
from currantwharf.policy.crash_report import CrashReport
from currantwharf.runtime.component_log import component_logger

CRASHES_PATH = b"/crashes"
MIN_FETCH_INTERVAL_S = 0.5
# Two instances may count differently for long, for example if one has cleared a
# request; fetches that bring nothing new become rarer up to this interval.
MAX_FETCH_INTERVAL_S = 30.0

log = component_logger("peers")


class CrashSync:
    """Decides when to fetch all crashes from a peer, and answers such a fetch.

    `fetch` requests a target from a host and calls back with the body, or None.
    """

    def __init__(
        self,
        crash_watch: CrashWatch,
        clock: Callable[[], float],
        fetch: Callable[[str, bytes, Callable[[bytes | None], None]], None],
    ) -> None:
        self._crash_watch = crash_watch
        self._clock = clock
        self._fetch = fetch
        self._interval_s = MIN_FETCH_INTERVAL_S
        self._next_fetch_at = -1e9

    def on_hello(self, hello: Hello, now: float) -> None:
        """Merge the crashes in a hello, and fetch the others if there are more."""
        if hello.losses:
            self._crash_watch.merge_reports(hello.losses, now)
        own_count = self._crash_watch.table.count_losses(now)
        if hello.loss_count > own_count and now >= self._next_fetch_at:
            self._next_fetch_at = now + self._interval_s
            self._fetch(hello.host, CRASHES_PATH, self._on_fetched)

    def encode_all(self, now: float) -> bytes:
        """Return all crashes that this instance knows, for a peer that fetches them."""
        return msgspec.msgpack.encode(self._crash_watch.table.list_reports(now))

    def _on_fetched(self, body: bytes | None) -> None:
        if body is None:
            return
        try:
            reports = msgspec.msgpack.decode(body, type=tuple[CrashReport, ...])
        except DECODE_ERRORS as exc:
            log.warning(
                "crashes fetched from a peer are unreadable; ignoring them",
                extra={"why": str(exc)},
            )
            return
        now = self._clock()
        count = self._crash_watch.table.count_losses(now)
        self._crash_watch.merge_reports(reports, now)
        if self._crash_watch.table.count_losses(now) > count:
            self._interval_s = MIN_FETCH_INTERVAL_S
        else:
            self._interval_s = min(2 * self._interval_s, MAX_FETCH_INTERVAL_S)
