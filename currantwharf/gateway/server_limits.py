"""The limits that backend servers name on the requests they get."""

from collections.abc import Callable

from currantwharf.runtime.component_log import component_logger

REPORTED_CHANGE_RATIO = 0.1  # smallest relative change of a limit that is news

log = component_logger("limit")


class ServerLimits:
    """The limit in force at each server, in requests per second of all instances.

    A server names its limit in its answers, and the limit holds until an answer names
    none. `on_change` is called with the server and its limit, or None, for each change
    that is news.

    >>> limits = ServerLimits()
    >>> limits.set_limit("s1", 8.5)
    >>> limits.get_limit("s1")
    8.5
    >>> limits.lift("s1")
    >>> limits.get_limit("s1") is None
    True
    """

    def __init__(self) -> None:
        self.on_change: Callable[[str, float | None], None] = lambda server, limit: None
        self._limits: dict[str, float] = {}

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
            log.info("server names no limit any more", extra=_fields(server, known))
            self.on_change(server, None)

    def forget(self, server: str) -> None:
        """Delete the limit of a server that is gone."""
        self._limits.pop(server, None)


def _differs(known: float, limit_per_s: float) -> bool:
    return abs(limit_per_s - known) > REPORTED_CHANGE_RATIO * known


def _fields(server: str, limit_per_s: float) -> dict[str, object]:
    return {"server": server, "per_s": limit_per_s}
