"""The task that keeps up with the fleet: members, configuration, list and life."""

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

TICK_S = 0.1  # seconds between two looks at the clock
HEARTBEAT_S = 0.5  # seconds between two probes
PUSH_TO = 3  # peers that hear at once of a new configuration
ASK_AT_JOIN = 3  # peers that a joining or woken instance asks
LEARN_AGAIN_S = 0.5  # seconds after nobody has answered

log = component_logger("fleet")


class FleetListener(Protocol):
    """Who hears of changes in the fleet."""

    def on_fleet_change(self) -> None:
        """Hear that members, the list, the configuration or the phase changed."""

    def on_list(self, listed: InstanceList) -> None:
        """Hear of a newly adopted instance list."""

    def on_pause(self, seconds: float) -> None:
        """Hear that this process did not run for `seconds`."""

    def send_heartbeat(self, peer: str, heartbeat: Heartbeat) -> None:
        """Send a heartbeat with the other messages for that peer."""


class FleetTask:
    """Own the membership, the configuration in force and the phase of life."""

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
        self.record = LifecycleRecord()
        self._life = build_lifecycle(self.record)
        self.config: VersionedConfig | None = None
        self.config_at = 0.0
        self.refused = ""
        self._refused_version = 0
        self._pauses = PauseDetector(clock.now())
        self._next_probe = 0.0
        self._seen_changes = -1
        self._fetching: set[str] = set()
        self.reader = PlatformReader(reactor, name, platform, self, rng)

    def start(self) -> None:
        """Begin to learn, to watch and to probe."""
        self._reactor.callLater(TICK_S, self._tick)
        ensureDeferred(self._learn())
        self.reader.start()

    def standing(self) -> Ack:
        """Return how this instance stands."""
        membership = self.membership
        return Ack(
            membership.instance,
            membership.boot_id,
            membership.incarnation,
            self.record.phase is Phase.READY,
            self.record.phase in (Phase.STOPPING, Phase.STOPPED),
            self.config.version if self.config is not None else 0,
            membership.instance_list.revision,
        )

    def find_owner(self, server: str, config: PublishedConfig) -> str | None:
        """Return the owner of a server in this instance's view."""
        return self.owners.find_owner(server, config)

    def address_of(self, peer: str) -> str | None:
        """Return the peer address of an instance, if it is listed."""
        listed = self.membership.instance_list.instances.get(peer)
        return listed.address if listed is not None else None

    def sees_fleet_majority(self) -> bool:
        """Return whether this instance sees more than half of those that may run."""
        membership = self.membership
        peers = [name for name in membership.peers() if not membership.is_gone(name)]
        seen = sum(1 for name in peers if membership.usable(name))
        return 2 * (seen + 1) > len(peers) + 1

    def on_ack(self, ack: Ack) -> None:
        """Hear an acknowledgement."""
        self._hear(ack)

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Hear a heartbeat and the rumours in it."""
        self._hear(heartbeat.standing)
        self.membership.apply_updates(heartbeat.news, self._clock.now())
        self._note_changes()

    def on_call_failed(self, peer: str, refused: bool) -> None:
        """Hear that a call to a peer failed, and whether it refused to connect."""
        if refused:
            self.membership.mark_gone(peer, self._clock.now())
        else:
            self.membership.suspect(peer, self._clock.now())
        self._note_changes()

    def observe_time(self) -> None:
        """Look at the clock; a gap means that this process was paused."""
        gap = self._pauses.observe(self._clock.now())
        if gap:
            log.warning("woke from a pause", extra={"seconds": round(gap, 2)})
            self._life.resumed()
            self._listener.on_pause(gap)
            self._note_phase()
            ensureDeferred(self._learn())

    def stop(self) -> None:
        """Begin a graceful shutdown and tell the peers of this data centre."""
        self._life.stop()
        self._note_phase()
        for peer in self.near_peers(usable=False):
            self.probe(peer)

    def stopped(self) -> None:
        """Note that nothing is left to finish."""
        self._life.drained()

    def _tick(self) -> None:
        self.observe_time()
        now = self._clock.now()
        if now >= self._next_probe:
            # Under a suspicion a process finds out fast whether it is the one cut off.
            doubt = self.membership.has_suspicions()
            self._next_probe = now + (TICK_S if doubt else HEARTBEAT_S)
            peer = self.membership.tick(now)
            if peer is not None:
                self.probe(peer)
            self._note_changes()
        if self.record.phase is not Phase.STOPPED:
            self._reactor.callLater(TICK_S, self._tick)

    def probe(self, peer: str) -> None:
        """Send a heartbeat to a peer now."""
        heartbeat = self.membership.heartbeat(self.standing())
        self._listener.send_heartbeat(peer, heartbeat)

    def near_peers(self, usable: bool) -> list[str]:
        """Return the other instances of this data centre, or the usable ones."""
        listed = self.membership.instance_list.instances
        return [
            name
            for name in self.membership.peers()
            if listed[name].data_centre == self._data_centre
            and (not usable or self.membership.usable(name))
        ]

    def _hear(self, standing: Ack) -> None:
        self.membership.record_ack(standing, self._clock.now())
        self._note_changes()
        held = self.config
        wanted = standing.config_version
        if is_newer(wanted, held) and wanted > self._refused_version:
            ensureDeferred(self._fetch_config(standing.instance))
        if standing.list_revision > self.membership.instance_list.revision:
            ensureDeferred(self._fetch_list(standing.instance))

    def _note_changes(self) -> None:
        if self.membership.change_count != self._seen_changes:
            self._seen_changes = self.membership.change_count
            self._listener.on_fleet_change()

    def _note_phase(self) -> None:
        self.owners.set_self_usable(self.record.phase is Phase.READY)
        log.info("the phase changed", extra={"phase": self.record.phase})
        self._listener.on_fleet_change()

    async def _learn(self) -> None:
        """Hear the present state from peers and the platform, then be ready."""
        while self.record.phase in (Phase.JOINING, Phase.RELEARNING):
            platform_answered = await self.reader.read_now()
            peer_answered = await self._ask_peers()
            known = (
                self.config is not None and self.membership.instance_list.revision > 0
            )
            alone = not self.membership.peers()
            if known and (peer_answered or platform_answered or alone):
                self._life.caught_up()
                self._note_phase()
                for peer in self.near_peers(usable=False):
                    self.probe(peer)
                return
            await deferLater(self._reactor, LEARN_AGAIN_S, lambda: None)

    async def _ask_peers(self) -> bool:
        """Ask some peers how they stand and take what is newer; say if one did."""
        peers = self.membership.peers()
        chosen = self._rng.sample(peers, min(ASK_AT_JOIN, len(peers)))
        asked = [ensureDeferred(self._ask_peer(peer)) for peer in chosen]
        answers: list[bool] = await gatherResults(asked)
        return any(answers)

    async def _ask_peer(self, peer: str) -> bool:
        address = self.address_of(peer)
        if address is None:
            return False
        message = self.membership.heartbeat(self.standing())
        envelope = encode_envelope(self._name, self.membership.boot_id, [message])
        try:
            ack = (await self._peers.post(address, envelope)).ack
            self.membership.record_ack(ack, self._clock.now())
            news = await self._peers.get_members(address)
            self.membership.apply_updates(news, self._clock.now())
        except Exception as exc:
            refused = isinstance(exc, ConnectionRefusedError)
            self.on_call_failed(peer, refused)
            return False
        if is_newer(ack.config_version, self.config):
            await self._fetch_config(peer)
        self._note_changes()
        return True

    async def _fetch_config(self, peer: str) -> None:
        address = self.address_of(peer)
        if address is None or "config" in self._fetching:
            return
        self._fetching.add("config")
        try:
            version, document = await self._peers.get_config(address)
            self.take_config(version, document)
        except Exception as exc:
            log.warning("a peer's configuration was not read", extra={"why": repr(exc)})
        finally:
            self._fetching.discard("config")

    async def _fetch_list(self, peer: str) -> None:
        address = self.address_of(peer)
        if address is None or "list" in self._fetching:
            return
        self._fetching.add("list")
        try:
            self.adopt_list(await self._peers.get_instance_list(address))
        except Exception as exc:
            log.warning("a peer's list was not read", extra={"why": repr(exc)})
        finally:
            self._fetching.discard("list")

    def held_versions(self) -> tuple[int, int]:
        """Return the newest known versions of the configuration and of the list."""
        held = self.config.version if self.config is not None else 0
        return max(held, self._refused_version), self.membership.instance_list.revision

    def is_stopped(self) -> bool:
        """Return whether the process is at its end."""
        return self.record.phase is Phase.STOPPED

    def take_config(self, version: int, document: bytes) -> None:
        """Take a configuration, if it is newer and valid."""
        if not is_newer(version, self.config):
            return
        parsed = parse_config(version, document)
        if parsed.is_err():
            self.refused = f"version {version}: {parsed.unwrap_err()}"
            self._refused_version = max(self._refused_version, version)
            log.error("a configuration was refused", extra={"version": version})
            return
        self.config = parsed.unwrap()
        self.config_at = self._clock.wall()
        self.refused = ""
        self.owners.clear_cache()
        log.info("a configuration is in force", extra={"version": version})
        self._listener.on_fleet_change()
        self._push()

    def adopt_list(self, listed: InstanceList) -> None:
        """Take an instance list, if it is newer."""
        if self.membership.adopt_list(listed, self._clock.now()):
            log.info("an instance list counts", extra={"revision": listed.revision})
            self._listener.on_list(listed)
            self._note_changes()
            self._push()

    def _push(self) -> None:
        """Tell a few peers at once; each of them tells a few more."""
        peers = self.membership.peers()
        for peer in self._rng.sample(peers, min(PUSH_TO, len(peers))):
            self.probe(peer)
