"""Graceful shutdown of an instance, without cutting off a request."""

from collections.abc import Callable, Collection

from currantwharf.gateway.call_runner import CallRunner
from currantwharf.http1 import CallerConnection

# Time for a load balancer that checks every second to see two failed checks.
BALANCER_DETECTION_S = 2.6
# Time for a caller that has just connected to send its first request.
FIRST_REQUEST_WAIT_S = 1.0
EXIT_MARGIN_S = 0.35  # time kept in reserve before the end of the grace period


class Shutdown:
    """The steps of a graceful stop that started at `started_at`.

    New callers are served until the load balancer has noticed the stop. Then
    `close_port` accepts the callers that wait, and closes the callers' port. Idle
    connections are closed, but one that has brought no request yet is given
    `FIRST_REQUEST_WAIT_S`, since its first request may be on its way. The stop is
    complete when no request is running and none is awaited, or shortly before
    `grace_s` seconds have passed.
    """

    def __init__(
        self,
        started_at: float,
        grace_s: float,
        calls: CallRunner,
        caller_connections: Collection[CallerConnection],
        close_port: Callable[[], object],
    ) -> None:
        self._started_at = started_at
        self._grace_s = grace_s
        self._calls = calls
        self._caller_connections = caller_connections
        self._close_port = close_port
        self._is_port_closed = False

    def step(self, now: float) -> bool:
        """Perform the steps that are due; return whether the process may end."""
        elapsed_s = now - self._started_at
        if elapsed_s < BALANCER_DETECTION_S:
            return False
        if not self._is_port_closed:
            self._is_port_closed = True
            self._close_port()
        for conn in list(self._caller_connections):
            if not conn.is_busy and not _awaits_first_request(conn, now):
                conn.close()
        if not self._is_idle(now) and elapsed_s < self._grace_s - EXIT_MARGIN_S:
            return False
        for conn in list(self._caller_connections):
            conn.refuse_waiting()
        self._calls.finish_all()
        return True

    def _is_idle(self, now: float) -> bool:
        return not self._calls.running and not any(
            conn.is_busy or _awaits_first_request(conn, now)
            for conn in self._caller_connections
        )


def _awaits_first_request(conn: CallerConnection, now: float) -> bool:
    return not conn.has_had_request and now - conn.opened_at < FIRST_REQUEST_WAIT_S
