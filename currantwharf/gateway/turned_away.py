"""Servers that have turned this instance away for a time.

The load: servers in need reject requests and say for how long they want nothing from
the instance that sent them. Requests that come meanwhile go to other servers; where
there is none, they are refused at once, with the time after which one takes them.
"""

from currantwharf.gateway.server_entry import ServerEntry
from currantwharf.runtime.component_log import component_logger

log = component_logger("turned away")


class TurnedAway:
    """Until when each server wants nothing from this instance, for one start of it.

    Of several rejections the one that lasts longest holds.

    >>> entry = ServerEntry("s1", "camphor", ("127.0.0.1", 80), "taipei-a", 2)
    >>> turned_away = TurnedAway()
    >>> turned_away.on_rejection(entry, 2.0, 10.0)
    >>> turned_away.remaining_s(entry, 11.5), turned_away.remaining_s(entry, 12.0)
    (0.5, 0.0)
    """

    def __init__(self) -> None:
        self._until: dict[str, tuple[str, float]] = {}

    @property
    def has_any(self) -> bool:
        """Whether any server has turned this instance away and not expired yet."""
        return bool(self._until)

    def on_rejection(self, entry: ServerEntry, seconds: float, now: float) -> None:
        """Record that a server wants nothing for some seconds."""
        if seconds <= self.remaining_s(entry, now):
            return
        if not self.remaining_s(entry, now):
            fields = {"server": entry.server, "service": entry.service}
            log.info("server wants nothing", extra={**fields, "seconds": seconds})
        self._until[entry.server] = (entry.boot, now + seconds)

    def remaining_s(self, entry: ServerEntry, now: float) -> float:
        """Return for how many seconds the server wants nothing, 0 if it takes some."""
        boot, until = self._until.get(entry.server, ("", 0.0))
        return max(0.0, until - now) if boot == entry.boot else 0.0

    def expire(self, now: float) -> None:
        """Drop times that are over."""
        for server, (_, until) in list(self._until.items()):
            if now >= until:
                del self._until[server]
