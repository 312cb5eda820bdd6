"""Stops an instance without interrupting a request."""

from collections.abc import Callable
from typing import Any

from twisted.internet.task import deferLater

from currantwharf.node.instance import Instance
from currantwharf.runtime.component_log import component_logger

# After this time without a caller, the load balancer has taken the instance out.
BALANCER_LAG_S = 1.5
MAX_BALANCER_LAG_S = 5.0  # bounds the wait for the load balancer
MIN_QUIET_S = 0.3  # without a caller, before a drained instance ends
STOP_CHECK_INTERVAL_S = 0.1

log = component_logger("stop")


async def drain(
    instance: Instance, reactor: Any, close_callers: Callable[[], object] = lambda: None
) -> bool:
    """Finish all work and hand over the owned servers; return whether all work ended.

    From the start, the instance reports that it is not ready, its peers are notified,
    and each answer closes its caller's connection. Callers that the load balancer
    still sends are served until none has come for `BALANCER_LAG_S`, for at most 5 s
    or half of `stop_within_s`; then `close_callers` is called, so that new connections
    are refused. The wait ends when no work is left, or after the `stop_within_s` of
    the settings.
    """
    clock = instance.clock
    started_at = clock.now()
    give_up_at = started_at + instance.settings.stop_within_s
    lag_ends_at = started_at + min(
        MAX_BALANCER_LAG_S, instance.settings.stop_within_s / 2
    )
    accepts_callers = True
    instance.fleet.stop()
    log.info("stopping gracefully")
    while clock.now() < give_up_at:
        quiet_s = clock.now() - max(started_at, instance.last_request_at())
        is_lag_over = quiet_s > BALANCER_LAG_S or clock.now() >= lag_ends_at
        if accepts_callers and is_lag_over:
            accepts_callers = False
            close_callers()
        if not accepts_callers and quiet_s > MIN_QUIET_S and _is_drained(instance):
            instance.fleet.mark_stopped()
            return True
        await deferLater(reactor, STOP_CHECK_INTERVAL_S, lambda: None)
    instance.fleet.mark_stopped()
    log.warning("stop_within_s has passed; stopping with work unfinished")
    return False


def _is_drained(instance: Instance) -> bool:
    return (
        instance.entry.running_count == 0
        and instance.owner.is_idle()
        and not instance.owner.owned_servers()
        and instance.messenger.is_idle()
    )
