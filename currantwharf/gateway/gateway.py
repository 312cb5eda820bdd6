"""A stateless gateway instance between callers and backend servers.

It reads the configuration and the backend servers' registrations, runs callers'
requests and shuts down gracefully.
"""

import random
from collections.abc import Callable
from enum import StrEnum
from math import isfinite
from typing import Any

from currantwharf.gateway.backend_wire import BackendWire
from currantwharf.gateway.call_log import CallLog
from currantwharf.gateway.call_metrics import CallMetrics
from currantwharf.gateway.call_result import CallResult
from currantwharf.gateway.call_runner import CallRunner
from currantwharf.gateway.change_log import log_changes
from currantwharf.gateway.change_source import ChangeSource
from currantwharf.gateway.changes import RevisedChange
from currantwharf.gateway.entry_point import EntryPoint
from currantwharf.gateway.fleet_shares import FleetShares
from currantwharf.gateway.gateway_limits import GatewayLimits
from currantwharf.gateway.instance_info import InstanceInfo
from currantwharf.gateway.lag_watch import LagWatch
from currantwharf.gateway.metadata_store import MetadataStore
from currantwharf.gateway.registry import Registry
from currantwharf.gateway.registry_task import RegistryTask
from currantwharf.gateway.relay import Relay
from currantwharf.gateway.running_call import RunningCall
from currantwharf.gateway.server_choice import ServerChooser
from currantwharf.gateway.server_directory import ServerDirectory
from currantwharf.gateway.server_pools import ServerPools
from currantwharf.gateway.server_report import ServerReport
from currantwharf.gateway.shutdown import Shutdown
from currantwharf.gateway.store_change import ServerRemoved
from currantwharf.gateway.store_position import StorePosition
from currantwharf.http1 import CallerConnection, RequestLimits
from currantwharf.peers.peer_table import PeerTable
from currantwharf.peers.peer_task import PeerTask
from currantwharf.policy.rising_share import RisingShare
from currantwharf.runtime.clock import Clock
from currantwharf.runtime.component_log import component_logger
from currantwharf.runtime.pause_watch import PauseWatch
from currantwharf.runtime.repeating_task import RepeatingTask

SWEEP_INTERVAL_S = 0.25  # interval of checks for timeouts, expiries and pauses
FINAL_WRITE_DELAY_S = 0.05  # time to write the last answers before the process ends
# Number of peers in this data centre to notify at once when this instance can't read
# the store, so that another one takes over as reader.
STORE_FAILURE_NOTICES = 4
FLEET_DISCOVERY_S = 6.0  # time after the start to discover a fleet of hundreds
# Part of the time within which a new configuration must be in force. The rest is for
# the way from the store and for confirmations that were late.
MAX_CONFIRMED_AGE_RATIO = 0.75
# Longest time after the start for which a configuration that may be outdated, because
# neither the store nor a peer has confirmed it, is not used.
MAX_UNCONFIRMED_S = 1.5
# Collects the reports of one query, whose late parts are noticed at the same time.
SHARING_DELAY_S = 0.002
RELEARN_TIMEOUT_S = 1.5  # longest wait to hear from a peer or the store after a pause

log = component_logger("gateway")


class GatewayState(StrEnum):
    """The lifecycle states of a gateway."""

    STARTING = "starting"
    SERVING = "serving"
    STOPPING = "stopping"


class Gateway:
    """The tasks of one gateway instance and the connections between them.

    `caller_connections` holds the open connections of callers. `registry_task` reads
    the store. `on_serving` is called once, when the gateway has a configuration and
    starts to serve.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        instance_info: InstanceInfo,
        limits: GatewayLimits,
        store: MetadataStore,
        wire: BackendWire,
        rng: random.Random,
    ) -> None:
        self.state = GatewayState.STARTING
        self.caller_connections: set[CallerConnection] = set()
        self.on_serving: Callable[[], None] = lambda: None
        self._reactor = reactor
        self._clock = clock
        self._limits = limits
        self._cores = instance_info.cores
        self._data_centre = instance_info.data_centre
        self._regions = instance_info.regions
        directory = ServerDirectory()
        self.chooser = ServerChooser(
            directory,
            limits,
            instance_info.region,
            instance_info.regions,
            rng,
            instance_info.instance,
        )
        self.chooser.eligibility.cold_limit.get_cold_rate = self._get_cold_rate
        self.chooser.sharing.on_pending = lambda: reactor.callLater(
            SHARING_DELAY_S, self._share_evidence
        )
        self.chooser.eligibility.server_limits.get_share = self._get_limit_share
        self.chooser.eligibility.server_limits.on_change = self._on_limit_change
        self.registry = Registry(directory, self.chooser)
        self.registry.on_confirmed = self._start_serving
        self.registry.on_restarted = self._forget_server
        self.registry.on_restored = self._report_restore
        self.pools = ServerPools(
            reactor, clock, self.chooser, self._get_max_connections
        )
        self.chooser.has_connection = self.pools.has_free_connection
        self.calls = CallRunner(
            reactor, clock, self.chooser, self.pools, wire, self._record_result
        )
        self._call_log = CallLog()
        self.metrics = CallMetrics()
        self.chooser.crash_watch.on_event = self.metrics.count_event
        self._pause_watch = PauseWatch(clock.now(), clock.time_since_boot())
        self.peer_table = PeerTable(
            instance_info.instance, instance_info.data_centre, rng
        )
        self.registry_task = RegistryTask(
            reactor,
            clock,
            store,
            self.registry,
            self._is_reader,
            self._on_store_changes,
            lambda: self.peers.send_hellos(STORE_FAILURE_NOTICES, 0),
            lambda: self.peer_table.fleet_size(clock.now()),
            self._has_recent_store_failure,
            rng,
        )
        self.peers = PeerTask(
            reactor,
            clock,
            instance_info,
            f"{rng.getrandbits(64):016x}",
            self.peer_table,
            self.registry,
            lambda: (self.is_ready, self.registry_task.can_read),
            self.chooser.crash_watch,
            self._on_changes,
            self._on_server_reports,
            lambda: self.chooser.eligibility.server_limits.list_reports(clock.now()),
            lambda reports: self.chooser.eligibility.server_limits.merge_reports(
                reports, clock.now()
            ),
            rng,
        )
        self.relay = Relay(reactor, clock, instance_info, self.peer_table)
        self.entry_point = EntryPoint(
            self.registry,
            self.calls,
            self.chooser.crash_watch,
            self._is_config_current,
            self._is_relearning,
            self._describe_registry,
        )
        self._sweep = RepeatingTask(reactor, "sweep", self._on_sweep)
        self._lag_watch = LagWatch()
        self._shares = FleetShares()
        self._repeat_share = RisingShare(clock.now())
        self._paused_at = -1e9
        self._started_at = clock.now()
        self._shutdown: Shutdown | None = None
        self._on_stopped: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Start the peer task, the store reader and the periodic sweep."""
        self.peers.start()
        self.registry_task.start()
        self._sweep.start(SWEEP_INTERVAL_S, now=False)

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send callers to this instance."""
        return self.state is GatewayState.SERVING

    def set_limits(self, limits: GatewayLimits, seeds: tuple[str, ...]) -> None:
        """Apply the limits and seed hosts of reloaded settings."""
        self._limits = limits
        self.chooser.set_limits(limits)
        self.peers.set_seeds(seeds)

    def is_closing(self) -> bool:
        """Return whether callers' connections are closed after each answer."""
        return self.state is GatewayState.STOPPING

    def get_request_limits(self) -> RequestLimits:
        """Return the size and time limits on callers' requests."""
        config = self.registry.config
        return config.limits if config is not None else RequestLimits()

    def stop(
        self, close_port: Callable[[], object], on_stopped: Callable[[], None]
    ) -> None:
        """Start a graceful stop.

        `close_port` closes the callers' port; `on_stopped` is called when the process
        may end.
        """
        if self.state is GatewayState.STOPPING:
            return
        log.info("stopping", extra={"calls": len(self.calls.running)})
        self.state = GatewayState.STOPPING
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
        self._check_for_pause(now)
        if self.registry.has_config and now - self._started_at > MAX_UNCONFIRMED_S:
            self._start_serving()
        self.chooser.crash_watch.expire(now)
        if self.chooser.crash_watch.has_new_losses:
            self.chooser.crash_watch.has_new_losses = False
            self.peers.send_to_all()
        self.chooser.eligibility.expire(now)
        if self.chooser.eligibility.server_limits.has_news:
            self.chooser.eligibility.server_limits.has_news = False
            self.peers.announce_change()
        for server in self.registry.expire(now):
            self._forget_server(server)
        newest = self.peer_table.newest_position()
        self.registry_task.check_watch_lag(newest)
        self._report_lag(newest, now)
        self._update_shares(now)
        self.calls.sweep(now)
        self.pools.drop_unsendable(now)
        self.pools.sweep(now)
        for conn in list(self.caller_connections):
            conn.check_timeouts(now)
        if self._shutdown is not None and self._shutdown.step(now):
            self._sweep.stop()
            # The last answers may still be in the write buffers.
            self._reactor.callLater(FINAL_WRITE_DELAY_S, self._on_stopped)

    def _report_lag(self, newest: StorePosition, now: float) -> None:
        position = self.registry.position
        lag_s = self._lag_watch.observe(position, newest, now)
        if lag_s:
            fields = {
                "seconds": round(lag_s, 2),
                "revision": position.revision,
                "newest": newest.revision,
                "era": position.era,
                "newest_era": newest.era,
                "version": self.entry_point.config_version,
                "is_fetching": self.peers.is_fetching,
                "can_read": self.registry_task.can_read,
            }
            log.warning("behind other instances", extra=fields)
            self.metrics.count_event("lags")

    def _report_restore(self, known: StorePosition, left_count: int) -> None:
        fields = {
            "era": self.registry.era,
            "known_era": known.era,
            "known_revision": known.revision,
            "servers_left": left_count,
        }
        log.warning("the store was restored from an older copy", extra=fields)
        self.metrics.count_event("store_restores")

    def _update_shares(self, now: float) -> None:
        """Update this instance's share of the fleet's budgets and connections."""
        share = self.peer_table.budget_share(now, self._cores)
        repeats = self._repeat_share.update(share, self._limits.repeat_window_s, now)
        fleet_size = self.peer_table.fleet_size(now)
        shares = FleetShares(repeats, share, share, 1 / fleet_size)
        is_starting = now - self._started_at < FLEET_DISCOVERY_S
        if is_starting or not self.peer_table.has_recent_contact(now):
            shares = shares.limit_to(1 / self._limits.assumed_fleet_size)
        if shares != self._shares:
            self._shares = shares
            self.chooser.repeats.set_share(shares.repeats)
            self.chooser.eligibility.cold_limit.share = shares.cold_calls
            self.pools.set_share(shares.shard_calls)

    def _share_evidence(self) -> None:
        """Tell the instances that call the same servers of silent and slow ones.

        A silence may be over before a report reaches another region, so only
        slowness is told there.
        """
        reports = self.chooser.sharing.take()
        slow = tuple(report for report in reports if report.work_ms is not None)
        for data_centre, region in self._regions.items():
            is_near = region == self._regions.get(self._data_centre)
            self.peers.send_reports(reports if is_near else slow, data_centre)

    def _on_limit_change(self, server: str, limit_per_s: float | None) -> None:
        event = "limits_lifted" if limit_per_s is None else "limits_named"
        self.metrics.count_event(event)

    def _on_server_reports(self, reports: tuple[ServerReport, ...]) -> None:
        now = self._clock.now()
        for report in reports:
            self.chooser.on_report(report, now)

    def _is_reader(self) -> bool:
        now = self._clock.now()
        return (
            self.peer_table.choose_reader(now, self.registry_task.can_read)
            == self.peer_table.name
        )

    def _check_for_pause(self, now: float) -> None:
        paused_s = self._pause_watch.observe(now, self._clock.time_since_boot())
        if paused_s:
            log.warning("paused", extra={"seconds": round(paused_s, 2)})
            self.metrics.count_event("pauses")
            self._paused_at = now
            self.peers.request_hellos()

    def _is_relearning(self) -> bool:
        """Return whether what this instance knows may be outdated.

        That is so until the first configuration is confirmed, and from a pause of the
        process until something is received. An instance that hears from nobody
        resumes with its old state after `RELEARN_TIMEOUT_S`.
        """
        if self.state is GatewayState.STARTING:
            return True
        now = self._clock.now()
        if now - self._paused_at > RELEARN_TIMEOUT_S:
            return False
        last_update_at = max(self.peers.heard_at, self.registry_task.last_answer_at)
        return last_update_at <= self._paused_at

    def _has_recent_store_failure(self) -> bool:
        now = self._clock.now()
        return (
            not self.registry_task.can_read
            or self.peer_table.has_recent_store_failure(now)
        )

    def _is_config_current(self) -> bool:
        """Return whether a route that is not known does not exist.

        It may have been added since the configuration was confirmed to be the newest,
        but then less time has passed than a new configuration may take to be in force.
        Otherwise the store is polled, so that a caller who tries again gets an answer.
        """
        age_s = self._clock.now() - self.registry.confirmed_at
        if age_s <= self._limits.config_apply_s * MAX_CONFIRMED_AGE_RATIO:
            return True
        self.registry_task.request_check()
        return False

    def _describe_registry(self) -> dict[str, object]:
        """Return how old this instance's view may be, for the log."""
        age_s = self._clock.now() - self.registry.confirmed_at
        return {
            "revision": self.registry.revision,
            "newest": self.peer_table.newest_position().revision,
            "confirmed_age_s": round(age_s, 2) if isfinite(age_s) else None,
        }

    def _on_store_changes(
        self, changes: list[RevisedChange], source: ChangeSource
    ) -> None:
        self._on_changes(changes, source)
        self.peers.announce_change()

    def _on_changes(self, changes: list[RevisedChange], source: ChangeSource) -> None:
        log_changes(changes, source)
        for change in changes:
            store_change = change.change
            if not isinstance(store_change, ServerRemoved):
                continue
            if not self.chooser.directory.is_return_pending(store_change.server):
                self._forget_server(store_change.server)
        limits = self.get_request_limits()
        for conn in self.caller_connections:
            conn.set_limits(limits)

    def _start_serving(self) -> None:
        if self.state is not GatewayState.STARTING:
            return
        self.state = GatewayState.SERVING
        fields = {
            "version": self.entry_point.config_version,
            "is_confirmed": self.registry.is_confirmed,
        }
        log.info("serving", extra=fields)
        self.on_serving()

    def _record_result(self, call: RunningCall, result: CallResult, now: float) -> None:
        config = self.registry.config
        self.metrics.on_result(call, result, now)
        self._call_log.on_result(call, result, config.version if config else 0, now)

    def _forget_server(self, server: str) -> None:
        self.pools.close(server)
        self.chooser.forget(server)

    def _get_cold_rate(self, service: str) -> float | None:
        config = self.registry.config
        declared = config.services.get(service) if config is not None else None
        return declared.cold_rate if declared is not None else None

    def _get_limit_share(self, service: str) -> float:
        """Return this instance's share of the limits of a service's servers."""
        is_shard = self.registry.is_shard(service)
        return self._shares.shard_calls if is_shard else self._shares.service_calls

    def _get_max_connections(self, service: str) -> int:
        config = self.registry.config
        declared = config.services.get(service) if config is not None else None
        return declared.most_connections if declared is not None else 1
