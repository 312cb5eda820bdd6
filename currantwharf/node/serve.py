"""Runs one instance until it receives SIGTERM or SIGINT."""

import os
import random
import signal
from typing import Any

from twisted.internet.defer import ensureDeferred
from twisted.internet.error import CannotListenError

from currantwharf.adapters.backend_client import BackendClient
from currantwharf.adapters.bounded_site import make_site
from currantwharf.adapters.caller_body import MAX_CALLER_BODY_BYTES
from currantwharf.adapters.caller_server import caller_resource
from currantwharf.adapters.operator_server import operator_resource
from currantwharf.adapters.peer_client import PeerClient
from currantwharf.adapters.peer_server import peer_resource
from currantwharf.adapters.platform_client import PlatformClient
from currantwharf.node.graceful_stop import drain
from currantwharf.node.instance import Instance
from currantwharf.node.interfaces import Interfaces
from currantwharf.node.operator_view import OperatorView
from currantwharf.runtime.clock import SystemClock
from currantwharf.runtime.component_log import component_logger
from currantwharf.settings import Settings

MAX_PEER_BODY_BYTES = 4_000_000  # of one envelope
MAX_OPERATOR_BODY_BYTES = 1_000

log = component_logger("serve")


def listen(instance: Instance, reactor: Any) -> list[Any]:
    """Open the ports of an instance and return them, the callers' port last.

    Raise CannotListenError if a port is already in use.
    """
    settings = instance.settings
    sites = (
        (settings.peer_port, peer_resource(instance), MAX_PEER_BODY_BYTES),
        (
            settings.operator_port,
            operator_resource(OperatorView(instance)),
            MAX_OPERATOR_BODY_BYTES,
        ),
        (settings.caller_port, caller_resource(instance), MAX_CALLER_BODY_BYTES),
    )
    return [
        reactor.listenTCP(port, make_site(resource, limit), interface=settings.host)
        for port, resource, limit in sites
    ]


def serve(settings: Settings, reactor: Any) -> int:
    """Run an instance in this process and return its exit code."""
    interfaces = Interfaces(
        PeerClient(reactor),
        PlatformClient(reactor, settings.platform),
        lambda declared: BackendClient(reactor, declared.address, declared.slots),
    )
    rng = random.Random(os.urandom(16))
    instance = Instance(settings, reactor, SystemClock(), interfaces, rng)
    try:
        ports = listen(instance, reactor)
    except CannotListenError as exc:
        log.error("cannot open a port; exiting", extra={"why": str(exc)})
        return 3
    instance.start()

    def begin_stop(*_: object) -> None:
        reactor.callFromThread(lambda: ensureDeferred(_stop(instance, ports, reactor)))

    # The reactor's own handlers would stop it with requests unanswered.
    reactor.callWhenRunning(signal.signal, signal.SIGTERM, begin_stop)
    reactor.callWhenRunning(signal.signal, signal.SIGINT, begin_stop)
    reactor.run(installSignalHandlers=False)
    return 0


async def _stop(instance: Instance, ports: list[Any], reactor: Any) -> None:
    """Drain the instance, close its ports and stop the reactor."""
    *others, callers = ports
    await drain(instance, reactor, callers.stopListening)
    for port in others:
        await port.stopListening()
    log.info("stopped")
    reactor.stop()
