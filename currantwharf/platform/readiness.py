"""The readiness check of the load balancer."""

from collections.abc import Callable

from currantwharf.http1 import HttpRequest, Responder
from currantwharf.platform.names import READY_PATH


def handle_readiness_check(
    request: HttpRequest, responder: Responder, is_ready: Callable[[], bool]
) -> None:
    """Respond with 200 if this instance accepts callers, else with 503."""
    if request.target.partition(b"?")[0] != READY_PATH:
        responder.finish(404, (), b"")
    else:
        responder.finish(200 if is_ready() else 503, (), b"")
