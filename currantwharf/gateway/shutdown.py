"""End an instance without cutting off a request."""

from collections.abc import Callable, Collection

from currantwharf.gateway.call_runner import CallRunner
from currantwharf.http1 import CallerConnection

BALANCER_S = 2.6  # seconds until a balancer that checks each second has missed two
MARGIN_S = 0.35  # seconds kept from the time in which the process has to end


class Shutdown:
    """Go through a graceful stop that began at `began_at`, step by step.

    Callers whom the balancer still sends are served until it has noticed. Then
    `close_port` closes the callers' port, idle connections are closed, and the stop is
    over when nothing is under way, or shortly before `grace_s` seconds have passed.
    """

    def __init__(
        self,
        began_at: float,
        grace_s: float,
        calls: CallRunner,
        callers: Collection[CallerConnection],
        close_port: Callable[[], object],
    ) -> None:
        self._began_at = began_at
        self._grace_s = grace_s
        self._calls = calls
        self._callers = callers
        self._close_port = close_port
        self._is_closed_to_callers = False

    def step(self, now: float) -> bool:
        """Do what is due; return whether the process may end."""
        since_s = now - self._began_at
        if since_s < BALANCER_S:
            return False
        if not self._is_closed_to_callers:
            self._is_closed_to_callers = True
            self._close_port()
            for conn in list(self._callers):
                if not conn.is_busy:
                    conn.close()
        if not self._is_quiet() and since_s < self._grace_s - MARGIN_S:
            return False
        self._calls.finish_all()
        return True

    def _is_quiet(self) -> bool:
        return not self._calls.running and not any(c.is_busy for c in self._callers)
