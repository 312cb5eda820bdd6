"""Run one instance on the platform until a stop signal."""

import os
import random
import signal
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

from result import Err
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
from currantwharf.platform.readiness import handle_readiness_check
from currantwharf.platform.store_client import StoreClient
from currantwharf.runtime.clock import SystemClock
from currantwharf.runtime.component_log import component_logger
from currantwharf.runtime.early_signals import handle_signals
from currantwharf.runtime.listening_socket import BACKLOG
from currantwharf.runtime.open_when_free import open_when_free

METRICS_PORT = 9464  # the port commonly used by metrics exporters
METRICS_CONTENT_TYPE = (b"content-type", b"text/plain; version=0.0.4")
CALLERS_PORT = "callers"  # the name of the port for callers
RELOAD_ATTEMPTS = 5
RELOAD_INTERVAL_S = 0.5  # between attempts to load settings that can't be loaded
MAX_ACCEPT_DELAY_S = 0.5  # time to wait for a configuration after the start

RequestHandler = Callable[[HttpRequest, Responder], None]
log = component_logger("serve")


class PlatformInstance:
    """One instance of the gateway and its listening ports.

    `ports` are the open ones by name. A port that is in use is opened once it is free;
    until that of the callers is open, the instance is not ready. A `metrics_port` of 0
    takes any free port, as tests do. `caller_socket` is a socket that already listens
    for callers. Connections of callers are accepted as soon as a
    configuration is known. Without one they are accepted after `MAX_ACCEPT_DELAY_S`,
    and their requests are refused with the time after which to retry.
    """

    def __init__(
        self,
        settings: PlatformSettings,
        reactor: Any,
        metrics_port: int = METRICS_PORT,
        caller_socket: socket.socket | None = None,
    ) -> None:
        clock = SystemClock()
        # By default, Twisted's timers follow the wall clock, which may be set.
        reactor.seconds = clock.now
        self.gateway = Gateway(
            reactor,
            clock,
            settings.instance_info,
            settings.limits,
            StoreClient(
                reactor, clock, settings.store_address, settings.max_value_bytes
            ),
            PlatformBackendWire(),
            random.Random(os.urandom(16)),
        )
        self.ports: dict[str, Any] = {}
        self._settings = settings
        self._reactor = reactor
        self._clock = clock
        self._metrics_port = metrics_port
        self._caller_socket = caller_socket
        self._is_accepting = False
        self._is_stopping = False
        self._caller_protocol = CallerProtocol(
            self.gateway.entry_point,
            self.gateway.relay,
            clock.now,
            settings.instance_info.link_bytes_per_s,
        )

    def listen(self) -> None:
        """Open all ports, the callers' last; one that is in use is opened later."""
        settings, info = self._settings, self._settings.instance_info
        handlers: tuple[tuple[str, Address, RequestHandler], ...] = (
            ("peers", settings.peer_address, self.gateway.peers.answer_fetch),
            ("metrics", (info.host, self._metrics_port), self._handle_metrics),
            (
                "relay",
                (info.host, info.relay_port),
                self._caller_protocol.handle_relayed,
            ),
            ("readiness", settings.readiness_address, self._handle_ready),
        )
        for name, address, handle in handlers:
            self._listen(name, address, self._build_internal_factory(handle))
        self._listen_for_callers()

    def start(self) -> None:
        """Start reading the store and serving callers."""
        self.gateway.on_serving = self._accept_callers
        self.gateway.start()
        self._reactor.callLater(MAX_ACCEPT_DELAY_S, self._accept_callers)
        log.info("started", extra={"instance": self._settings.instance_info.instance})

    def stop(self, on_stopped: Callable[[], None]) -> None:
        """Stop gracefully, then call `on_stopped`."""
        self._is_stopping = True
        self.gateway.stop(self._close_callers_port, on_stopped)

    def reload(self, path: Path, attempts: int = RELOAD_ATTEMPTS) -> None:
        """Load the settings file again and apply it, if it is valid.

        The platform may still be writing it, so it is loaded `attempts` times at most.
        """
        loaded = load_platform_settings(path)
        if isinstance(loaded, Err):
            log.error(
                "settings file cannot be loaded; keeping the settings in force",
                extra={"why": str(loaded.unwrap_err()), "attempts_left": attempts - 1},
            )
            if attempts > 1 and not self._is_stopping:
                self._reactor.callLater(
                    RELOAD_INTERVAL_S, self.reload, path, attempts - 1
                )
            return
        settings = loaded.unwrap()
        self.gateway.set_limits(settings.limits, settings.instance_info.seeds)
        log.info("settings reloaded")

    def _listen(
        self,
        name: str,
        address: Address,
        build: Callable[[], CallerConnection],
        on_open: Callable[[Any], None] = lambda port: None,
    ) -> None:
        factory = Factory.forProtocol(build)

        def add(port: Any) -> None:
            self.ports[name] = port
            on_open(port)

        open_when_free(
            self._reactor,
            name,
            lambda: self._reactor.listenTCP(address[1], factory, BACKLOG, address[0]),
            add,
            lambda: not self._is_stopping,
        )

    def _listen_for_callers(self) -> None:
        if self._caller_socket is None:
            self._listen(
                CALLERS_PORT,
                self._settings.caller_address,
                self._build_caller_connection,
                self._hold_callers,
            )
            return
        factory = Factory.forProtocol(self._build_caller_connection)
        fd = self._caller_socket.fileno()
        port = self._reactor.adoptStreamPort(fd, socket.AF_INET, factory)
        self.ports[CALLERS_PORT] = port
        self._caller_socket.close()
        self._hold_callers(port)

    def _hold_callers(self, port: Any) -> None:
        """Accept no caller's connection yet, unless callers are being served."""
        if not self._is_accepting:
            port.stopReading()

    def _accept_callers(self) -> None:
        if self._is_accepting:
            return
        self._is_accepting = True
        port = self.ports.get(CALLERS_PORT)
        if port is not None and port.connected:
            port.startReading()

    def _close_callers_port(self) -> None:
        """Accept the callers that wait in the kernel's queue, and close the port.

        Closing the port alone would reset their connections.
        """
        port = self.ports.get(CALLERS_PORT)
        if port is None:
            return
        if port.connected:
            port.numberAccepts = BACKLOG
            port.doRead()
        port.stopListening()

    def _build_caller_connection(self) -> CallerConnection:
        gateway = self.gateway
        conn = CallerConnection(
            self._caller_protocol.handle,
            gateway.get_request_limits(),
            self._clock.now,
            gateway.is_closing,
            gateway.caller_connections.discard,
        )
        gateway.caller_connections.add(conn)
        return conn

    def _build_internal_factory(
        self, handle: RequestHandler
    ) -> Callable[[], CallerConnection]:
        return lambda: CallerConnection(
            handle,
            RequestLimits(),
            self._clock.now,
            lambda: False,
            lambda conn: None,
        )

    def _handle_ready(self, request: HttpRequest, responder: Responder) -> None:
        handle_readiness_check(request, responder, self._is_ready)

    def _is_ready(self) -> bool:
        return self.gateway.is_ready and CALLERS_PORT in self.ports

    def _handle_metrics(self, request: HttpRequest, responder: Responder) -> None:
        responder.finish(200, (METRICS_CONTENT_TYPE,), self.gateway.metrics.render())


def serve(
    settings: PlatformSettings,
    path: Path,
    reactor: Any,
    caller_socket: socket.socket | None,
) -> None:
    """Run an instance in this process until a stop signal.

    `caller_socket` is a socket that already listens for callers, or None if their port
    was in use.
    """
    instance = PlatformInstance(settings, reactor, caller_socket=caller_socket)
    instance.listen()

    def handle(number: int) -> None:
        if number == signal.SIGHUP:
            reactor.callFromThread(instance.reload, path)
        else:
            reactor.callFromThread(instance.stop, reactor.stop)

    # The reactor's own signal handlers would cut off running requests.
    reactor.callWhenRunning(handle_signals, handle)
    instance.start()
    reactor.run(installSignalHandlers=False)
    log.info("stopped")
