"""The limits that backend servers name, and this instance's share of each.

The load: servers that are in need take fewer requests a second, from all instances
together, than callers send. Where callers prefer the nearest server, most of its
requests come from few instances.
"""

from collections.abc import Callable

from currantwharf.gateway.server_entry import ServerEntry
from currantwharf.gateway.token_buckets import SCORE_RANGE, TokenBuckets
from currantwharf.policy.rendezvous import score
from currantwharf.runtime.component_log import component_logger

REPORTED_CHANGE_RATIO = 0.1  # smallest relative change of a limit that is news
# A lower limit counts as this one: without any request its end could not be noticed.
MIN_LIMIT_PER_S = 0.2
# The time over which servers count, in seconds. In it they expect no more than half of
# their limit beyond the limit, and a few requests.
WINDOW_S = 4.0
# The rate of an instance that sends a server one request in a window at most.
SPARSE_RATE_PER_S = 0.99 / WINDOW_S

log = component_logger("limit")


class ServerLimits:
    """The limit in force at each server, in requests per second of all instances.

    A server names its limit in its answers, and the limit holds until an answer names
    none. `share` is the fraction of each limit that this instance may use. `on_change`
    is called with the server and its limit, or None, for each change that is news.

    >>> limits = ServerLimits("i")
    >>> limits.set_limit("s1", 8.5)
    >>> limits.get_limit("s1")
    8.5
    >>> limits.lift("s1")
    >>> limits.get_limit("s1") is None
    True
    """

    def __init__(self, instance: str) -> None:
        self.share = 1.0
        self.on_change: Callable[[str, float | None], None] = lambda server, limit: None
        self._instance = instance
        self._limits: dict[str, float] = {}
        self._buckets = TokenBuckets(instance)

    @property
    def has_any(self) -> bool:
        """Whether any server has named a limit."""
        return bool(self._limits)

    def can_send(self, entry: ServerEntry, now: float) -> bool:
        """Return whether the server's limit allows this instance one more request."""
        rate = self._instance_rate(entry)
        return rate is None or self._buckets.count(entry.server, rate, now) >= 1.0

    def on_send(self, entry: ServerEntry, now: float) -> None:
        """Count a request to a server against its limit."""
        rate = self._instance_rate(entry)
        if rate is not None:
            self._buckets.spend(entry.server, rate, now)

    def get_limit(self, server: str) -> float | None:
        """Return the limit of a server, or None if it has named none."""
        return self._limits.get(server)

    def set_limit(self, server: str, limit_per_s: float) -> None:
        """Record that a server has named a limit."""
        known = self._limits.get(server)
        self._limits[server] = limit_per_s
        if known is None or _differs(known, limit_per_s):
            log.info("server named a limit", extra=_fields(server, limit_per_s))
            self.on_change(server, limit_per_s)

    def lift(self, server: str) -> None:
        """Record that a server has answered without naming a limit."""
        known = self._limits.pop(server, None)
        if known is not None:
            self._buckets.forget(server)
            log.info("server names no limit any more", extra=_fields(server, known))
            self.on_change(server, None)

    def forget(self, server: str) -> None:
        """Delete the limit of a server that is gone."""
        self._limits.pop(server, None)
        self._buckets.forget(server)

    def _instance_rate(self, entry: ServerEntry) -> float | None:
        limit_per_s = self._limits.get(entry.server)
        if limit_per_s is None:
            return None
        draw = score(self._instance, f"limit|{entry.server}") / SCORE_RANGE
        return compute_instance_rate(limit_per_s, self.share, draw)


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
    min_rate = limit_per_s / (WINDOW_S * limit_per_s + 3)
    if rate < min_rate:
        return min_rate if draw * min_rate < rate else 0.0
    if rate * WINDOW_S * 3 / 4 < 1:
        # Two tokens in a window of this rate would be half as many again as it allows.
        return min(rate, SPARSE_RATE_PER_S)
    return rate


def _differs(known: float, limit_per_s: float) -> bool:
    return abs(limit_per_s - known) > REPORTED_CHANGE_RATIO * known


def _fields(server: str, limit_per_s: float) -> dict[str, object]:
    return {"server": server, "per_s": limit_per_s}
