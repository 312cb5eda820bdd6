"""Opening a port that may still be in use.

The load: a process is started while its predecessor still stops, an outgoing connection
of another process has the port, or the machine's address is not configured yet. A
process that ends would only be started again; one that waits serves as soon as it can.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet.error import CannotListenError

from currantwharf.runtime.component_log import component_logger

MIN_RETRY_DELAY_S = 0.1  # doubled after each attempt
MAX_RETRY_DELAY_S = 2.0

log = component_logger("port")


def open_when_free(
    reactor: Any,
    name: str,
    open_port: Callable[[], Any],
    on_open: Callable[[Any], None] = lambda port: None,
    is_needed: Callable[[], bool] = lambda: True,
    delay_s: float = MIN_RETRY_DELAY_S,
) -> None:
    """Call `open_port` now, and again after a while as long as the port is in use.

    `on_open` is called with the port. Nothing is tried any more once `is_needed`
    returns false.
    """
    if not is_needed():
        return
    try:
        port = open_port()
    except CannotListenError as exc:
        log.error(
            "cannot open a port; trying again", extra={"port": name, "why": str(exc)}
        )
        next_delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)
        reactor.callLater(
            delay_s,
            open_when_free,
            reactor,
            name,
            open_port,
            on_open,
            is_needed,
            next_delay_s,
        )
        return
    if delay_s > MIN_RETRY_DELAY_S:
        log.info("port is open", extra={"port": name})
    on_open(port)
