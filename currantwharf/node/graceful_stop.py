"""Stop an instance without cutting off a request."""

from typing import Any

from twisted.internet.task import deferLater

from currantwharf.node.instance import Instance
from currantwharf.node.part_log import part_log

BALANCER_LAG_S = 1.5  # seconds without a caller before a stopping instance closes
STOP_CHECK_S = 0.1  # seconds

log = part_log("stop")


async def drain(instance: Instance, reactor: Any) -> bool:
    """Finish what was begun and hand over what is owned; return whether all ended.

    From the first moment readiness is off and the peers know. Callers that the
    lagging balancer still sends are served. The wait ends when no caller has come
    for a while and nothing is under way, or at the bound of the settings.
    """
    clock = instance.clock
    began_at = clock.now()
    give_up_at = began_at + instance.settings.stop_within_s
    instance.fleet.stop()
    log.info("stopping gracefully")
    while clock.now() < give_up_at:
        quiet_since = max(began_at, instance.idle_since())
        quiet = clock.now() - quiet_since > BALANCER_LAG_S
        if quiet and _is_drained(instance):
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
        and instance.post.idle()
    )
