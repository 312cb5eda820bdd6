"""Stop an instance without cutting off a request."""

from collections.abc import Callable
from typing import Any

from twisted.internet.task import deferLater

from currantwharf.node.instance import Instance
from currantwharf.runtime.component_log import component_logger

BALANCER_LAG_S = 1.5  # seconds without a caller after which the balancer has noticed
LONGEST_LAG_S = 5.0  # seconds that a balancer is waited for
MIN_QUIET_S = 0.3  # seconds without a caller before a drained instance ends
STOP_CHECK_S = 0.1  # seconds

log = component_logger("stop")


async def drain(
    instance: Instance, reactor: Any, close_callers: Callable[[], object] = lambda: None
) -> bool:
    """Finish what was begun and hand over what is owned; return whether all ended.

    From the first moment readiness is off, the peers know, and each answer closes its
    caller's connection. Callers that the lagging balancer still sends are served
    until none has come for a while, or for 5 s; then `close_callers` is called, so
    that new connections are refused. The wait ends when nothing is under way, or at
    the bound of the settings.
    """
    clock = instance.clock
    began_at = clock.now()
    give_up_at = began_at + instance.settings.stop_within_s
    lag_ends_at = began_at + min(LONGEST_LAG_S, instance.settings.stop_within_s / 2)
    open_to_callers = True
    instance.fleet.stop()
    log.info("stopping gracefully")
    while clock.now() < give_up_at:
        quiet_s = clock.now() - max(began_at, instance.idle_since())
        lag_is_over = quiet_s > BALANCER_LAG_S or clock.now() >= lag_ends_at
        if open_to_callers and lag_is_over:
            open_to_callers = False
            close_callers()
        if not open_to_callers and quiet_s > MIN_QUIET_S and _is_drained(instance):
            instance.fleet.stopped()
            return True
        await deferLater(reactor, STOP_CHECK_S, lambda: None)
    instance.fleet.stopped()
    log.warning("the bound on stopping has passed with work under way")
    return False


def _is_drained(instance: Instance) -> bool:
    return (
        instance.entry.running == 0
        and instance.owner.idle()
        and not instance.owner.owned()
        and instance.messenger.idle()
    )
