"""Run one instance on the platform until it is told to stop."""

import os
import random
import signal
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

from result import Err
from twisted.internet.error import CannotListenError
from twisted.internet.protocol import Factory

from currantwharf.gateway.gateway import Gateway
from currantwharf.http1 import CallerConnection, HttpRequest, RequestLimits, Responder
from currantwharf.platform.address import Address
from currantwharf.platform.backend_protocol import PlatformBackendWire
from currantwharf.platform.caller_protocol import CallerProtocol
from currantwharf.platform.platform_settings import (
    PlatformSettings,
    load_platform_settings,
)
from currantwharf.platform.ready_site import answer_ready
from currantwharf.platform.store_client import StoreClient
from currantwharf.runtime.clock import SystemClock
from currantwharf.runtime.component_log import component_logger
from currantwharf.runtime.listening_socket import BACKLOG

METRICS_PORT = 9464  # the port that exporters of metrics commonly use
METRICS_TYPE = (b"content-type", b"text/plain; version=0.0.4")
OPEN_AT_LATEST_S = 0.5  # seconds after the start; then callers are told to come back

Handle = Callable[[HttpRequest, Responder], None]
log = component_logger("serve")


class PlatformInstance:
    """One instance and its ports.

    `metrics_port` is 0 for any free port, as in tests. `early` is a socket that
    listens for callers already. Callers are accepted when a configuration is known, or
    refused from `OPEN_AT_LATEST_S` on.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        reactor: Any,
        metrics_port: int = METRICS_PORT,
        early: socket.socket | None = None,
    ) -> None:
        clock = SystemClock()
        # Twisted's timers follow the time of day by default, which may be set.
        reactor.seconds = clock.now
        self.gateway = Gateway(
            reactor,
            clock,
            settings.instance_info,
            settings.limits,
            StoreClient(reactor, clock, settings.store),
            PlatformBackendWire(),
            random.Random(os.urandom(16)),
        )
        self.ports: list[Any] = []
        self._settings = settings
        self._reactor = reactor
        self._clock = clock
        self._metrics_port = metrics_port
        self._early = early
        self._is_open = False
        self._callers = CallerProtocol(
            self.gateway.entry_point,
            self.gateway.relay,
            clock.now,
            settings.instance_info.link_bytes_per_s,
        )

    def listen(self) -> None:
        """Open all ports, the callers' last; CannotListenError if one is taken."""
        settings, gateway = self._settings, self.gateway
        metrics = (settings.instance_info.host, self._metrics_port)
        self._listen(settings.peers, self._plain(gateway.peers.answer_fetch))
        self._listen(metrics, self._plain(self._answer_metrics))
        relay = (settings.instance_info.host, settings.instance_info.relay_port)
        self._listen(relay, self._plain(self._callers.handle_relayed))
        self._listen(settings.ready, self._plain(self._answer_ready))
        self._listen_for_callers()

    def start(self) -> None:
        """Begin to read and to serve."""
        self.gateway.on_serving = self._open_to_callers
        self.gateway.start()
        self._reactor.callLater(OPEN_AT_LATEST_S, self._open_to_callers)
        log.info("started", extra={"instance": self._settings.instance_info.instance})

    def stop(self, on_stopped: Callable[[], None]) -> None:
        """Stop gracefully."""
        self.gateway.stop(self.ports[-1].stopListening, on_stopped)

    def reload(self, path: Path) -> None:
        """Take the settings file anew, if it is valid."""
        found = load_platform_settings(path)
        if isinstance(found, Err):
            log.error("settings not reloaded", extra={"why": str(found.unwrap_err())})
            return
        settings = found.unwrap()
        self.gateway.set_limits(settings.limits, settings.instance_info.seeds)
        log.info("settings reloaded")

    def _listen(self, address: Address, build: Callable[[], CallerConnection]) -> None:
        factory = Factory.forProtocol(build)
        port = self._reactor.listenTCP(address[1], factory, BACKLOG, address[0])
        self.ports.append(port)

    def _listen_for_callers(self) -> None:
        if self._early is None:
            self._listen(self._settings.caller_address, self._caller_connection)
        else:
            factory = Factory.forProtocol(self._caller_connection)
            fd = self._early.fileno()
            port = self._reactor.adoptStreamPort(fd, socket.AF_INET, factory)
            self.ports.append(port)
            self._early.close()
        self.ports[-1].stopReading()

    def _open_to_callers(self) -> None:
        port = self.ports[-1]
        if not self._is_open and port.connected:
            self._is_open = True
            port.startReading()

    def _caller_connection(self) -> CallerConnection:
        gateway = self.gateway
        conn = CallerConnection(
            self._callers.handle,
            gateway.request_limits(),
            self._clock.now,
            gateway.is_closing,
            gateway.caller_connections.discard,
        )
        gateway.caller_connections.add(conn)
        return conn

    def _plain(self, handle: Handle) -> Callable[[], CallerConnection]:
        return lambda: CallerConnection(
            handle,
            RequestLimits(),
            self._clock.now,
            lambda: False,
            lambda conn: None,
        )

    def _answer_ready(self, request: HttpRequest, responder: Responder) -> None:
        answer_ready(request, responder, lambda: self.gateway.is_ready)

    def _answer_metrics(self, request: HttpRequest, responder: Responder) -> None:
        responder.finish(200, (METRICS_TYPE,), self.gateway.metrics.render())


def serve(
    settings: PlatformSettings, path: Path, reactor: Any, early: socket.socket
) -> int:
    """Run an instance in this process and return its exit code.

    `early` listens for callers already.
    """
    instance = PlatformInstance(settings, reactor, early=early)
    try:
        instance.listen()
    except CannotListenError as exc:
        log.error("a port can't be opened", extra={"why": str(exc)})
        return 3

    def begin_stop(*_: object) -> None:
        reactor.callFromThread(instance.stop, reactor.stop)

    def reload(*_: object) -> None:
        reactor.callFromThread(instance.reload, path)

    # The reactor's own handlers would cut requests off.
    reactor.callWhenRunning(signal.signal, signal.SIGTERM, begin_stop)
    reactor.callWhenRunning(signal.signal, signal.SIGINT, begin_stop)
    reactor.callWhenRunning(signal.signal, signal.SIGHUP, reload)
    instance.start()
    reactor.run(installSignalHandlers=False)
    log.info("stopped")
    return 0
