"""One instance on the way between callers and backend servers, without own state.

It reads the configuration and the registrations of backend servers, runs callers'
requests and stops without cutting one off.
"""

import random
from collections.abc import Callable
from enum import StrEnum
from typing import Any

from twisted.internet.task import LoopingCall

from currantwharf.gateway.backend_wire import BackendWire
from currantwharf.gateway.call_log import CallLog
from currantwharf.gateway.call_metrics import CallMetrics
from currantwharf.gateway.call_result import CallResult
from currantwharf.gateway.call_runner import CallRunner
from currantwharf.gateway.change_log import log_changes
from currantwharf.gateway.changes import RevisedChange
from currantwharf.gateway.entry_point import EntryPoint
from currantwharf.gateway.gateway_limits import GatewayLimits
from currantwharf.gateway.instance_info import InstanceInfo
from currantwharf.gateway.metadata_store import MetadataStore
from currantwharf.gateway.registry import Registry
from currantwharf.gateway.registry_task import RegistryTask
from currantwharf.gateway.relay import Relay
from currantwharf.gateway.running_call import RunningCall
from currantwharf.gateway.server_choice import ServerChooser
from currantwharf.gateway.server_directory import ServerDirectory
from currantwharf.gateway.server_pools import ServerPools
from currantwharf.gateway.shutdown import Shutdown
from currantwharf.gateway.store_change import ServerRemoved
from currantwharf.http1 import CallerConnection, RequestLimits
from currantwharf.peers.peer_table import PeerTable
from currantwharf.peers.peer_task import PeerTask
from currantwharf.runtime.clock import Clock
from currantwharf.runtime.component_log import component_logger
from currantwharf.runtime.pause_watch import PauseWatch

SWEEP_S = 0.25  # seconds between two looks at what is overdue
LAST_WRITE_S = 0.05  # seconds in which the last answers are written
ALL_NEAR = 4  # instances near by that hear at once that another one had better read
SMALL_FLEET = 12  # instances that share a server's connections until more are known
SETTLE_S = 6.0  # seconds after the start in which a fleet of hundreds is heard of
RELEARN_S = 1.5  # seconds after a pause in which an answer of a peer is waited for

log = component_logger("gateway")


class Life(StrEnum):
    """Name the states of a gateway."""

    STARTING = "starting"
    SERVING = "serving"
    STOPPING = "stopping"


class Gateway:
    """Wire the tasks of one gateway together."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        place: InstanceInfo,
        limits: GatewayLimits,
        store: MetadataStore,
        wire: BackendWire,
        rng: random.Random,
    ) -> None:
        self.life = Life.STARTING
        self.caller_connections: set[CallerConnection] = set()
        self.on_serving: Callable[[], None] = lambda: None
        self._reactor = reactor
        self._clock = clock
        self._limits = limits
        self._cores = place.cores
        directory = ServerDirectory()
        self.chooser = ServerChooser(
            directory, limits, place.region, place.regions, rng, place.instance
        )
        self.chooser.cold_limit.get_cold_rate = self._cold_rate_of
        self.registry = Registry(directory, self.chooser)
        self.pools = ServerPools(reactor, clock, self.chooser, self._connections_of)
        self.chooser.has_connection = self.pools.has_free
        self.calls = CallRunner(
            reactor, clock, self.chooser, self.pools, wire, self._note
        )
        self._call_log = CallLog()
        self.metrics = CallMetrics()
        self._pauses = PauseWatch(clock.now(), clock.time_since_boot())
        self.peer_table = PeerTable(place.instance, place.data_centre, rng)
        self.reader = RegistryTask(
            reactor,
            clock,
            store,
            self.registry,
            self._is_reader,
            self._on_store_news,
            lambda: self.peers.send_hellos(ALL_NEAR, 0),
            lambda: self.peer_table.fleet_size(clock.now()),
            self._is_store_in_trouble,
            rng,
        )
        self.peers = PeerTask(
            reactor,
            clock,
            place,
            f"{rng.getrandbits(64):016x}",
            self.peer_table,
            self.registry,
            lambda: (self.is_ready, self.reader.can_read),
            lambda: self.chooser.crash_watch.recent_reports(clock.now()),
            self._on_news,
            lambda losses: self.chooser.crash_watch.merge_reports(losses, clock.now()),
            rng,
        )
        self.relay = Relay(reactor, clock, place, self.peer_table)
        self.entry_point = EntryPoint(
            self.registry,
            self.calls,
            self.chooser.crash_watch,
            self._is_current,
            self._is_relearning,
        )
        self._sweep = LoopingCall(self._on_sweep)
        self._sweep.clock = reactor
        self._shares = 0.0, 0.0
        self._paused_at = -1e9
        self._started_at = clock.now()
        self._shutdown: Shutdown | None = None
        self._on_stopped: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Begin to read and to look after what is overdue."""
        self.peers.start()
        self.reader.start()
        self._sweep.start(SWEEP_S, now=False)

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send callers here."""
        return self.life is Life.SERVING

    def set_limits(self, limits: GatewayLimits, seeds: tuple[str, ...]) -> None:
        """Take the settings of a reload."""
        self._limits = limits
        self.chooser.set_limits(limits)
        self.peers.set_seeds(seeds)

    def is_closing(self) -> bool:
        """Return whether each answer ends its caller's connection."""
        return self.life is Life.STOPPING

    def request_limits(self) -> RequestLimits:
        """Return what callers may send."""
        config = self.registry.config
        return config.limits if config is not None else RequestLimits()

    def stop(
        self, close_port: Callable[[], object], on_stopped: Callable[[], None]
    ) -> None:
        """Stop gracefully; `close_port` closes the callers' port."""
        if self.life is Life.STOPPING:
            return
        log.info("stopping", extra={"calls": len(self.calls.running)})
        self.life = Life.STOPPING
        self._shutdown = Shutdown(
            self._clock.now(),
            self._limits.grace_s,
            self.calls,
            self.caller_connections,
            close_port,
        )
        self._on_stopped = on_stopped

    def _on_sweep(self) -> None:
        now = self._clock.now()
        self._look_for_pause(now)
        if self.chooser.crash_watch.has_new_losses:
            self.chooser.crash_watch.has_new_losses = False
            self.peers.send_to_all()
        for server in self.registry.expire(now):
            self._forget(server)
        self.reader.note_newest(self.peer_table.newest_revision())
        self._set_share(now)
        self.calls.sweep(now)
        self.pools.sweep(now)
        for conn in list(self.caller_connections):
            conn.check_timeouts(now)
        if self._shutdown is not None and self._shutdown.step(now):
            self._sweep.stop()
            # The last answers are still to be written.
            self._reactor.callLater(LAST_WRITE_S, self._on_stopped)

    def _set_share(self, now: float) -> None:
        """Take the part of the fleet's budgets that this instance may spend."""
        budget_share = of_connections = self.peer_table.budget_share(now, self._cores)
        is_new = now - self._started_at < SETTLE_S
        if is_new or not self.peer_table.has_recent_contact(now):
            # Others may run unseen, as when all start again at once.
            budget_share = min(budget_share, 1 / self._limits.assumed_fleet_size)
            of_connections = min(of_connections, 1 / SMALL_FLEET)
        if (budget_share, of_connections) != self._shares:
            self._shares = budget_share, of_connections
            self.chooser.set_share(budget_share)
            self.pools.set_share(of_connections)

    def _is_reader(self) -> bool:
        now = self._clock.now()
        return self.peer_table.reader(now, self.reader.can_read) == self.peer_table.name

    def _look_for_pause(self, now: float) -> None:
        paused_s = self._pauses.observe(now, self._clock.time_since_boot())
        if paused_s:
            log.warning("paused", extra={"seconds": round(paused_s, 2)})
            self.metrics.count_event("pauses")
            self._paused_at = now
            self.peers.request_hellos()

    def _is_relearning(self) -> bool:
        """Return whether the process was paused and has heard of nothing since.

        One that hears nobody goes on with what it knows after a while.
        """
        now = self._clock.now()
        if now - self._paused_at > RELEARN_S:
            return False
        heard_at = max(self.peers.heard_at, self.reader.heard_at)
        return heard_at <= self._paused_at

    def _is_store_in_trouble(self) -> bool:
        now = self._clock.now()
        return not self.reader.can_read or self.peer_table.has_recent_store_failure(now)

    def _is_current(self) -> bool:
        """Return whether what is known of the configuration is the newest."""
        return self.reader.is_store_up or self.peer_table.has_recent_contact(
            self._clock.now()
        )

    def _on_store_news(self, news: list[RevisedChange]) -> None:
        self._on_news(news)
        self.peers.announce_change()

    def _on_news(self, news: list[RevisedChange]) -> None:
        log_changes(news)
        for change in news:
            found = change.change
            if not isinstance(found, ServerRemoved):
                continue
            if not self.chooser.directory.is_awaited(found.server):
                self._forget(found.server)
        if self.life is Life.STARTING and self.registry.is_known:
            self.life = Life.SERVING
            version = self.registry.config.version if self.registry.config else 0
            log.info("serving", extra={"version": version})
            self.on_serving()
        limits = self.request_limits()
        for conn in self.caller_connections:
            conn.set_limits(limits)

    def _note(self, call: RunningCall, result: CallResult, now: float) -> None:
        config = self.registry.config
        self.metrics.on_result(call, result, now)
        self._call_log.on_result(call, result, config.version if config else 0, now)

    def _forget(self, server: str) -> None:
        self.pools.close(server)
        self.chooser.forget(server)

    def _cold_rate_of(self, service: str) -> float | None:
        config = self.registry.config
        declared = config.services.get(service) if config is not None else None
        return declared.cold_rate if declared is not None else None

    def _connections_of(self, service: str) -> int:
        config = self.registry.config
        declared = config.services.get(service) if config is not None else None
        return declared.most_connections if declared is not None else 1
