"""The limits that backend servers name, and this instance's share of each.

The load: servers that are in need take fewer requests a second, from all instances
together, than callers send. Where callers prefer the nearest server, most of its
requests come from few instances.
"""

from collections.abc import Callable, Iterable

from currantwharf.gateway.limit_report import LimitReport
from currantwharf.gateway.server_entry import ServerEntry
from currantwharf.gateway.token_buckets import SCORE_RANGE, TokenBuckets
from currantwharf.policy.rendezvous import score
from currantwharf.runtime.component_log import component_logger

REPORTED_CHANGE_RATIO = 0.1  # smallest relative change of a limit that is news
# A lower limit counts as this one: without any request its end could not be noticed.
MIN_LIMIT_PER_S = 0.2
# How long a limit holds of which nothing more is seen. A large fleet holds itself to so
# few requests that minutes may pass between two answers.
LIMIT_TIME_TO_LIVE_S = 300.0
END_TIME_TO_LIVE_S = 30.0  # how long the end of a limit is told
# The time over which servers count, in seconds. In it they expect no more than half of
# their limit beyond the limit, and a few requests.
WINDOW_S = 4.0
EXCESS_RATIO = 1.5
EXCESS_REQUESTS = 5.0
MEAN_EXCESS_REQUESTS = 3.0  # where a draw decides how many instances send
# The rate of an instance that sends a server one request in a window at most.
SPARSE_RATE_PER_S = 0.99 / WINDOW_S

log = component_logger("limit")


class ServerLimits:
    """The limit in force at each server, in requests per second of all instances.

    A server names its limit in its answers, and the limit holds until an answer names
    none. Instances tell each other what they have seen of it, since one that sends a
    server little or nothing would miss the end of a limit. Of two reports the newer
    holds; without any for minutes, a limit has ended.

    `get_share` returns the fraction of the limits of a service's servers that this
    instance may use. `on_change` is called with the server and its limit, or None, for
    each change that is news. `has_news` is set when this instance has seen a change
    that others may not know.

    >>> limits = ServerLimits("i")
    >>> limits.set_limit("s1", 8.5, 10.0)
    >>> limits.get_limit("s1", 10.0)
    8.5
    >>> limits.set_limit("s1", None, 12.0)
    >>> limits.get_limit("s1", 12.0) is None
    True
    """

    def __init__(self, instance: str) -> None:
        self.get_share: Callable[[str], float] = lambda service: 1.0
        self.has_news = False
        self.on_change: Callable[[str, float | None], None] = lambda server, limit: None
        self._instance = instance
        self._seen: dict[str, tuple[float | None, float]] = {}
        self._buckets = TokenBuckets(instance)

    @property
    def has_any(self) -> bool:
        """Whether any server has named a limit lately."""
        return bool(self._seen)

    def can_send(self, entry: ServerEntry, now: float) -> bool:
        """Return whether the server's limit allows this instance one more request."""
        rate = self._instance_rate(entry, now)
        return rate is None or self._buckets.count(entry.server, rate, now) >= 1.0

    def on_send(self, entry: ServerEntry, now: float) -> None:
        """Count a request to a server against its limit."""
        rate = self._instance_rate(entry, now)
        if rate is not None:
            self._buckets.spend(entry.server, rate, now)

    def get_limit(self, server: str, now: float) -> float | None:
        """Return the limit of a server, or None if none is in force."""
        seen = self._seen.get(server)
        if seen is None or seen[0] is None or now - seen[1] > _time_to_live_s(seen[0]):
            return None
        return seen[0]

    def set_limit(self, server: str, limit_per_s: float | None, now: float) -> None:
        """Record the limit that a server names in an answer, or that it names none."""
        if limit_per_s is None and self._seen.get(server, (None,))[0] is None:
            return
        self.has_news |= self._set(server, limit_per_s, now, now)

    def list_reports(self, now: float) -> list[LimitReport]:
        """Return what is known of all limits, for other instances."""
        return [
            LimitReport(server, limit_per_s, round(now - seen_at, 2))
            for server, (limit_per_s, seen_at) in self._seen.items()
        ]

    def merge_reports(self, reports: Iterable[LimitReport], now: float) -> None:
        """Record what other instances have seen of limits."""
        for report in reports:
            seen_at = now - max(0.0, report.age_s)
            known = self._seen.get(report.server)
            is_expired = now - seen_at > _time_to_live_s(report.limit_per_s)
            if not is_expired and (known is None or known[1] < seen_at):
                self._set(report.server, report.limit_per_s, seen_at, now)

    def expire(self, now: float) -> None:
        """Delete the limits of which nothing was seen for a while."""
        for server, (limit_per_s, seen_at) in list(self._seen.items()):
            if now - seen_at > _time_to_live_s(limit_per_s):
                if limit_per_s is not None:
                    log.info("limit of a server expired", extra={"server": server})
                self.forget(server)

    def forget(self, server: str) -> None:
        """Delete the limit of a server that is gone."""
        self._seen.pop(server, None)
        self._buckets.forget(server)

    def _set(
        self, server: str, limit_per_s: float | None, seen_at: float, now: float
    ) -> bool:
        """Record a limit; return whether it is news."""
        known = self.get_limit(server, now)
        self._seen[server] = (limit_per_s, seen_at)
        if limit_per_s is None:
            if known is None:
                return False
            self._buckets.forget(server)
            log.info("server names no limit any more", extra={"server": server})
        else:
            if known is not None and not _differs(known, limit_per_s):
                return False
            fields = {"server": server, "per_s": limit_per_s}
            log.info("server named a limit", extra=fields)
        self.on_change(server, limit_per_s)
        return True

    def _instance_rate(self, entry: ServerEntry, now: float) -> float | None:
        limit_per_s = self.get_limit(entry.server, now)
        if limit_per_s is None:
            return None
        draw = score(self._instance, f"limit|{entry.server}") / SCORE_RANGE
        share = self.get_share(entry.service)
        return compute_instance_rate(limit_per_s, share, draw)


def compute_instance_rate(limit_per_s: float, share: float, draw: float) -> float:
    """Return the requests per second that an instance may send to a limited server.

    Each instance may have a token saved up, and those of many instances together would
    make a burst beyond what the server expects. So where shares are small only some
    instances use them, with a higher rate; `draw`, a number from 0 to 1 that depends
    on the instance and the server, tells which.

    >>> compute_instance_rate(12.0, 0.1, draw=0.9)
    1.2000000000000002
    >>> compute_instance_rate(1.25, 0.01, draw=0.9)
    0.0
    >>> compute_instance_rate(1.25, 0.01, draw=0.05)
    0.15625
    """
    limit_per_s = max(limit_per_s, MIN_LIMIT_PER_S)
    rate = limit_per_s * share
    if share < 1 / (EXCESS_RATIO * WINDOW_S * limit_per_s + EXCESS_REQUESTS):
        # Fewer instances than the window allows, since the draw may give more.
        min_rate = limit_per_s / (WINDOW_S * limit_per_s + MEAN_EXCESS_REQUESTS)
        return min_rate if draw * min_rate < rate else 0.0
    if rate * WINDOW_S * 3 / 4 < 1:
        # Two tokens in a window of this rate would be half as many again as it allows.
        return min(rate, SPARSE_RATE_PER_S)
    return rate


def _time_to_live_s(limit_per_s: float | None) -> float:
    return END_TIME_TO_LIVE_S if limit_per_s is None else LIMIT_TIME_TO_LIVE_S


def _differs(known: float, limit_per_s: float) -> bool:
    return abs(limit_per_s - known) > REPORTED_CHANGE_RATIO * known
