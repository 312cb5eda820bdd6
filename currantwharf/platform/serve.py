"""Run one instance on the platform until it is told to stop."""

import os
import random
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

from result import Err
from twisted.internet.error import CannotListenError
from twisted.internet.protocol import Factory

from currantwharf.gateway.gateway import Gateway
from currantwharf.http1 import CallerConnection, HttpRequest, RequestLimits, Responder
from currantwharf.platform.backend_protocol import PlatformBackendWire
from currantwharf.platform.caller_protocol import CallerProtocol
from currantwharf.platform.platform_settings import (
    Address,
    PlatformSettings,
    load_platform_settings,
)
from currantwharf.platform.ready_site import answer_ready
from currantwharf.platform.store_client import StoreClient
from currantwharf.runtime.clock import SystemClock
from currantwharf.runtime.part_log import part_log

METRICS_PORT = 9464  # the port that exporters of metrics commonly use
METRICS_TYPE = (b"content-type", b"text/plain; version=0.0.4")
BACKLOG = 512  # connections that wait to be accepted; a burst brings hundreds

log = part_log("serve")


def serve(settings: PlatformSettings, path: Path, reactor: Any) -> int:
    """Run an instance in this process and return its exit code."""
    clock = SystemClock()
    gateway = Gateway(
        reactor,
        clock,
        settings.place,
        settings.limits,
        StoreClient(reactor, clock, settings.store),
        PlatformBackendWire(),
        random.Random(os.urandom(16)),
    )
    callers = CallerProtocol(gateway.entry_point, clock.now)

    def listen(address: Address, build: Callable[[], CallerConnection]) -> Any:
        factory = Factory.forProtocol(build)
        return reactor.listenTCP(address[1], factory, BACKLOG, address[0])

    def caller_connection() -> CallerConnection:
        conn = CallerConnection(
            callers.handle,
            gateway.request_limits(),
            clock.now,
            gateway.is_closing,
            gateway.callers.discard,
        )
        gateway.callers.add(conn)
        return conn

    def ready_connection() -> CallerConnection:
        def handle(request: HttpRequest, responder: Responder) -> None:
            answer_ready(request, responder, lambda: gateway.is_ready)

        return CallerConnection(
            handle, RequestLimits(), clock.now, lambda: False, lambda conn: None
        )

    def peer_connection() -> CallerConnection:
        return CallerConnection(
            gateway.peers.answer_fetch,
            RequestLimits(),
            clock.now,
            lambda: False,
            lambda conn: None,
        )

    def metrics_connection() -> CallerConnection:
        def handle(request: HttpRequest, responder: Responder) -> None:
            responder.finish(200, (METRICS_TYPE,), gateway.metrics.text())

        return CallerConnection(
            handle, RequestLimits(), clock.now, lambda: False, lambda conn: None
        )

    try:
        listen(settings.peers, peer_connection)
        listen((settings.place.host, METRICS_PORT), metrics_connection)
        listen(settings.ready, ready_connection)
        port = listen(settings.callers, caller_connection)
    except CannotListenError as exc:
        log.error("a port can't be opened", extra={"why": str(exc)})
        return 3

    def reload() -> None:
        found = load_platform_settings(path)
        if isinstance(found, Err):
            log.error("settings not reloaded", extra={"why": str(found.unwrap_err())})
            return
        gateway.set_limits(found.unwrap().limits, found.unwrap().place.seeds)
        log.info("settings reloaded")

    def begin_stop(*_: object) -> None:
        reactor.callFromThread(gateway.stop, port.stopListening, reactor.stop)

    # The reactor's own handlers would cut requests off.
    reactor.callWhenRunning(signal.signal, signal.SIGTERM, begin_stop)
    reactor.callWhenRunning(signal.signal, signal.SIGINT, begin_stop)
    reactor.callWhenRunning(
        signal.signal, signal.SIGHUP, lambda *_: reactor.callFromThread(reload)
    )
    gateway.start()
    log.info("started", extra={"instance": settings.place.instance})
    reactor.run(installSignalHandlers=False)
    log.info("stopped")
    return 0
