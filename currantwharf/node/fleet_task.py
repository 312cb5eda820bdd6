"""Keeps track of the fleet's members, the configuration and the lifecycle phase."""

import random
from typing import Any, Protocol

from twisted.internet.defer import ensureDeferred, gatherResults
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.task import deferLater

from currantwharf.config import PublishedConfig, VersionedConfig, is_newer, parse_config
from currantwharf.fleet import (
    InstanceList,
    LifecycleRecord,
    Membership,
    OwnerResolver,
    PauseDetector,
    Phase,
    build_lifecycle,
)
from currantwharf.node.interfaces import PeerCalls, PlatformCalls
from currantwharf.node.platform_reader import PlatformReader
from currantwharf.runtime.clock import Clock
from currantwharf.runtime.component_log import component_logger
from currantwharf.wire import Ack, Heartbeat, encode_envelope

TICK_INTERVAL_S = 0.1  # between two checks of the clock
HEARTBEAT_INTERVAL_S = 0.5  # between two probes
PUSH_PEER_COUNT = 3  # peers that are notified of a new configuration at once
CATCH_UP_PEER_COUNT = 3  # peers that a joining or resumed instance queries
CATCH_UP_RETRY_S = 0.5  # delay after a round that brought no usable state

log = component_logger("fleet")


class FleetListener(Protocol):
    """The receiver of changes in the fleet."""

    def on_fleet_change(self) -> None:
        """Handle a change of members, instance list, configuration or phase."""

    def on_list_adopted(self, listed: InstanceList) -> None:
        """Handle a newly adopted instance list."""

    def on_pause(self, seconds: float) -> None:
        """Handle a pause: this process did not run for `seconds`."""

    def send_heartbeat(self, peer: str, heartbeat: Heartbeat) -> None:
        """Send a heartbeat in the next call to the peer."""


class FleetTask:
    """Holds the membership, the configuration in force and the lifecycle phase.

    Versions travel with every acknowledgement and heartbeat; an instance that learns
    of a newer configuration or instance list fetches it from the peer that has it.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        name: str,
        boot_id: str,
        data_centre: str,
        peers: PeerCalls,
        platform: PlatformCalls,
        listener: FleetListener,
        rng: random.Random,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._name = name
        self._data_centre = data_centre
        self._peers = peers
        self._listener = listener
        self._rng = rng
        self.membership = Membership(name, boot_id, rng)
        self.owners = OwnerResolver(self.membership, data_centre)
        self.lifecycle = LifecycleRecord()
        self._state_machine = build_lifecycle(self.lifecycle)
        self.config: VersionedConfig | None = None
        self.config_adopted_at = 0.0
        self.config_refusal = ""
        self._max_refused_version = 0
        self._pause_detector = PauseDetector(clock.now())
        self._next_probe_at = 0.0
        self._reported_change_count = -1
        self._fetching: set[str] = set()
        self.reader = PlatformReader(reactor, name, platform, self, rng)

    def start(self) -> None:
        """Start to catch up, to watch the platform and to probe peers."""
        self._reactor.callLater(TICK_INTERVAL_S, self._tick)
        ensureDeferred(self._catch_up())
        self.reader.start()

    def build_ack(self) -> Ack:
        """Return an acknowledgement that states this instance's phase and versions."""
        membership = self.membership
        return Ack(
            membership.instance,
            membership.boot_id,
            membership.incarnation,
            self.lifecycle.phase is Phase.READY,
            self.lifecycle.phase in (Phase.STOPPING, Phase.STOPPED),
            self.config.version if self.config is not None else 0,
            membership.instance_list.revision,
        )

    def find_owner(self, server: str, config: PublishedConfig) -> str | None:
        """Return the owner of a server as this instance sees the fleet."""
        return self.owners.find_owner(server, config)

    def find_peer_address(self, peer: str) -> str | None:
        """Return the peer address of an instance, if it is listed."""
        listed = self.membership.instance_list.instances.get(peer)
        return listed.address if listed is not None else None

    def sees_fleet_majority(self) -> bool:
        """Return whether more than half of the instances that may run are usable.

        This instance counts as usable. Instances whose address refuses connections
        are left out, since no process runs there.
        """
        membership = self.membership
        peers = [name for name in membership.peers() if not membership.is_gone(name)]
        seen = sum(1 for name in peers if membership.is_usable(name))
        return 2 * (seen + 1) > len(peers) + 1

    def on_ack(self, ack: Ack) -> None:
        """Handle a peer's acknowledgement."""
        self._process_ack(ack)

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Handle a heartbeat and the member updates that it carries."""
        self._process_ack(heartbeat.standing)
        self.membership.apply_updates(heartbeat.news, self._clock.now())
        self._report_changes()

    def on_call_failed(self, peer: str, refused: bool) -> None:
        """Handle a failed call; `refused` means that the connection was refused.

        No process listens at an address that refuses; any other failure only makes
        the peer suspected.
        """
        if refused:
            self.membership.mark_gone(peer, self._clock.now())
        else:
            self.membership.suspect(peer, self._clock.now())
        self._report_changes()

    def observe_time(self) -> None:
        """Check the clock; after a gap, treat the process as resumed from a pause."""
        gap_s = self._pause_detector.observe(self._clock.now())
        if gap_s:
            log.warning(
                "process resumed after a pause; catching up",
                extra={"seconds": round(gap_s, 2)},
            )
            self._state_machine.on_resumed()
            self._listener.on_pause(gap_s)
            self._report_phase()
            ensureDeferred(self._catch_up())

    def stop(self) -> None:
        """Begin a graceful shutdown and notify the peers of this data centre."""
        self._state_machine.stop()
        self._report_phase()
        for peer in self.list_local_peers(usable=False):
            self.probe(peer)

    def mark_stopped(self) -> None:
        """Enter the final phase, once no work is left."""
        self._state_machine.on_drained()

    def _tick(self) -> None:
        try:
            self._observe_and_probe()
        except Exception:
            log.exception("unexpected error; continuing at the next tick")
        if self.lifecycle.phase is not Phase.STOPPED:
            self._reactor.callLater(TICK_INTERVAL_S, self._tick)

    def _observe_and_probe(self) -> None:
        self.observe_time()
        now = self._clock.now()
        if now >= self._next_probe_at:
            # Faster probes during a suspicion show whether this process is cut off.
            has_suspicions = self.membership.has_suspicions()
            self._next_probe_at = now + (
                TICK_INTERVAL_S if has_suspicions else HEARTBEAT_INTERVAL_S
            )
            peer = self.membership.tick(now)
            if peer is not None:
                self.probe(peer)
            self._report_changes()

    def probe(self, peer: str) -> None:
        """Send a heartbeat to a peer immediately."""
        heartbeat = self.membership.build_heartbeat(self.build_ack())
        self._listener.send_heartbeat(peer, heartbeat)

    def list_local_peers(self, usable: bool) -> list[str]:
        """Return the other instances of this data centre.

        With `usable`, only those that are alive, ready and not stopping.
        """
        listed = self.membership.instance_list.instances
        return [
            name
            for name in self.membership.peers()
            if listed[name].data_centre == self._data_centre
            and (not usable or self.membership.is_usable(name))
        ]

    def _process_ack(self, ack: Ack) -> None:
        self.membership.record_ack(ack, self._clock.now())
        self._report_changes()
        current = self.config
        offered = ack.config_version
        if is_newer(offered, current) and offered > self._max_refused_version:
            ensureDeferred(self._fetch_config(ack.instance))
        if ack.list_revision > self.membership.instance_list.revision:
            ensureDeferred(self._fetch_list(ack.instance))

    def _report_changes(self) -> None:
        if self.membership.change_count != self._reported_change_count:
            self._reported_change_count = self.membership.change_count
            self._listener.on_fleet_change()

    def _report_phase(self) -> None:
        self.owners.set_self_usable(self.lifecycle.phase is Phase.READY)
        log.info("phase changed", extra={"phase": self.lifecycle.phase})
        self._listener.on_fleet_change()

    async def _catch_up(self) -> None:
        """Read the current state from the platform and peers, then become ready.

        An instance becomes ready once it has a configuration and an instance list and
        the platform or a peer has answered; a single instance needs no answer.
        """
        while self.lifecycle.phase in (Phase.JOINING, Phase.RELEARNING):
            platform_answered = await self.reader.read_once()
            peer_answered = await self._query_peers()
            has_state = (
                self.config is not None and self.membership.instance_list.revision > 0
            )
            is_alone = not self.membership.peers()
            if has_state and (peer_answered or platform_answered or is_alone):
                self._state_machine.on_caught_up()
                self._report_phase()
                for peer in self.list_local_peers(usable=False):
                    self.probe(peer)
                return
            await deferLater(self._reactor, CATCH_UP_RETRY_S, lambda: None)

    async def _query_peers(self) -> bool:
        """Fetch newer state from some peers; return whether any of them answered."""
        peers = self.membership.peers()
        sampled_peers = self._rng.sample(peers, min(CATCH_UP_PEER_COUNT, len(peers)))
        queries = [ensureDeferred(self._query_peer(peer)) for peer in sampled_peers]
        answers: list[bool] = await gatherResults(queries)
        return any(answers)

    async def _query_peer(self, peer: str) -> bool:
        address = self.find_peer_address(peer)
        if address is None:
            return False
        heartbeat = self.membership.build_heartbeat(self.build_ack())
        envelope = encode_envelope(self._name, self.membership.boot_id, [heartbeat])
        try:
            ack = (await self._peers.post(address, envelope)).ack
            self.membership.record_ack(ack, self._clock.now())
            updates = await self._peers.get_members(address)
            self.membership.apply_updates(updates, self._clock.now())
        except Exception as exc:
            refused = isinstance(exc, ConnectionRefusedError)
            self.on_call_failed(peer, refused)
            return False
        if is_newer(ack.config_version, self.config):
            await self._fetch_config(peer)
        self._report_changes()
        return True

    async def _fetch_config(self, peer: str) -> None:
        address = self.find_peer_address(peer)
        if address is None or "config" in self._fetching:
            return
        self._fetching.add("config")
        try:
            version, document = await self._peers.get_config(address)
            self.adopt_config(version, document)
        except Exception as exc:
            log.warning(
                "fetching the configuration from a peer failed",
                extra={"why": repr(exc)},
            )
        finally:
            self._fetching.discard("config")

    async def _fetch_list(self, peer: str) -> None:
        address = self.find_peer_address(peer)
        if address is None or "list" in self._fetching:
            return
        self._fetching.add("list")
        try:
            self.adopt_list(await self._peers.get_instance_list(address))
        except Exception as exc:
            log.warning(
                "fetching the instance list from a peer failed",
                extra={"why": repr(exc)},
            )
        finally:
            self._fetching.discard("list")

    def get_known_versions(self) -> tuple[int, int]:
        """Return the newest known versions of the configuration and the instance list.

        A refused version counts as known, so that it is not fetched again.
        """
        current = self.config.version if self.config is not None else 0
        return max(
            current, self._max_refused_version
        ), self.membership.instance_list.revision

    def is_stopped(self) -> bool:
        """Return whether the instance has stopped."""
        return self.lifecycle.phase is Phase.STOPPED

    def adopt_config(self, version: int, document: bytes) -> None:
        """Adopt a configuration if it is newer and valid."""
        if not is_newer(version, self.config):
            return
        parsed = parse_config(version, document)
        if parsed.is_err():
            self.config_refusal = f"version {version}: {parsed.unwrap_err()}"
            self._max_refused_version = max(self._max_refused_version, version)
            log.error(
                "invalid configuration refused; keeping the one in force",
                extra={"version": version},
            )
            return
        self.config = parsed.unwrap()
        self.config_adopted_at = self._clock.wall()
        self.config_refusal = ""
        self.owners.clear_cache()
        log.info("configuration adopted", extra={"version": version})
        self._listener.on_fleet_change()
        self._push_to_peers()

    def adopt_list(self, listed: InstanceList) -> None:
        """Adopt an instance list if it is newer."""
        if self.membership.adopt_list(listed, self._clock.now()):
            log.info("instance list adopted", extra={"revision": listed.revision})
            self._listener.on_list_adopted(listed)
            self._report_changes()
            self._push_to_peers()

    def _push_to_peers(self) -> None:
        """Notify a few peers immediately; each of them notifies a few more."""
        peers = self.membership.peers()
        for peer in self._rng.sample(peers, min(PUSH_PEER_COUNT, len(peers))):
            self.probe(peer)
