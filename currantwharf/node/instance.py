"""An instance: its tasks, and its interfaces to callers, peers and operators."""

import random
from dataclasses import replace
from typing import Any

from twisted.internet.defer import Deferred

from currantwharf.adapters.caller_error import CallerErrorType
from currantwharf.adapters.caller_server import encode_stored_result
from currantwharf.config import PublishedConfig, VersionedConfig
from currantwharf.fleet import InstanceList, Phase
from currantwharf.metrics import Recorder, make_sink
from currantwharf.node.entry_task import EntryTask
from currantwharf.node.fleet_task import FleetTask
from currantwharf.node.interfaces import Interfaces
from currantwharf.node.owner_task import OwnerTask
from currantwharf.node.peer_messenger import PeerMessenger
from currantwharf.once import ClaimTable, HolderHistory
from currantwharf.query import CallerRequest, DeliveryFailed, QueryResult, Router
from currantwharf.runtime.clock import Clock
from currantwharf.settings import Settings
from currantwharf.wire import (
    Ack,
    Cancel,
    Claim,
    ClaimReply,
    ClaimResult,
    Envelope,
    Heartbeat,
    MemberUpdate,
    PeerMessage,
    ServerReleased,
    ShardAnswer,
    ShardRequest,
    encode_reply,
    list_messages,
)


class Instance:
    """Creates the tasks of one instance and routes messages between them."""

    def __init__(
        self,
        settings: Settings,
        reactor: Any,
        clock: Clock,
        interfaces: Interfaces,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.boot_id = f"{rng.getrandbits(64):016x}"
        name = settings.instance
        peers, platform = interfaces.peers, interfaces.platform
        self.recorder = Recorder(make_sink(settings.statsd))
        self.fleet = FleetTask(
            reactor,
            clock,
            name,
            self.boot_id,
            settings.data_centre,
            peers,
            platform,
            self,
            rng,
        )
        self.history = HolderHistory(name, clock.wall())
        self.claims = ClaimTable(name, self.history)
        self.messenger = PeerMessenger(
            reactor,
            clock,
            peers,
            name,
            self.boot_id,
            self.fleet.find_peer_address,
            self,
        )
        self.router = Router(
            lambda: self.fleet.config,
            self.fleet.find_owner,
            self.messenger.is_silent,
            self._is_listed_as_leaving,
        )
        self.entry = EntryTask(
            reactor,
            clock,
            f"{name}.{self.boot_id}",
            self.router,
            self.messenger,
            self.history.find_holders,
            encode_stored_result,
            self.recorder,
            rng,
        )
        self.owner = OwnerTask(
            reactor,
            clock,
            name,
            self.router,
            self._find_owner,
            self.messenger,
            interfaces.make_backend,
            self.recorder,
            self._probe_replica_owners,
        )
        self._last_request_at = clock.now()

    def start(self) -> None:
        """Start to read the state of the fleet from the platform and from peers."""
        self.fleet.start()

    # Interface to callers.

    def get_config_for_callers(self) -> PublishedConfig | None:
        """Return the configuration, or None while no request may be accepted."""
        self.fleet.observe_time()
        if self.fleet.lifecycle.phase not in (Phase.READY, Phase.STOPPING):
            return None
        return self.fleet.config.config if self.fleet.config is not None else None

    def is_stopping(self) -> bool:
        """Return whether the instance is stopping; callers should use another one."""
        return self.fleet.lifecycle.phase is Phase.STOPPING

    def read_clocks(self) -> tuple[float, float]:
        """Return the monotonic clock and the Unix time, in seconds."""
        return self.clock.now(), self.clock.wall()

    def run(self, request: CallerRequest) -> "Deferred[QueryResult]":
        """Run a caller's request; the deferred fires with its result."""
        self._last_request_at = self.clock.now()
        return self.entry.run(request)

    def count_refused(self, error: CallerErrorType) -> None:
        """Count a request that was refused because its input was invalid."""
        self.recorder.count(f"refused_input.{error}")

    # Interface to peers.

    def receive_envelope(self, envelope: Envelope) -> "Deferred[bytes]":
        """Handle the messages of a peer; the deferred fires with the encoded reply.

        The call is held open for a while, so that answers can go into its reply.
        """
        self.fleet.observe_time()
        expected = len(envelope.requests) + len(envelope.claims)
        answers = self.messenger.open_reply_slot(envelope.sender, expected)
        for message in list_messages(envelope):
            self._dispatch_message(message, envelope.sender)
        return answers.addCallback(
            lambda messages: encode_reply(self.fleet.build_ack(), messages)
        )

    def current_config(self) -> VersionedConfig | None:
        """Return the configuration in force."""
        return self.fleet.config

    def current_instance_list(self) -> InstanceList:
        """Return the instance list with the highest revision seen."""
        return self.fleet.membership.instance_list

    def member_updates(self) -> tuple[MemberUpdate, ...]:
        """Return what this instance knows of every member of the fleet."""
        return self.fleet.membership.export_updates()

    # Interface to operators.

    def is_ready(self) -> bool:
        """Return whether the load balancer may send callers here."""
        return self.fleet.lifecycle.phase is Phase.READY

    def metrics(self) -> dict[str, object]:
        """Return the counters and histograms as plain data for JSON."""
        return self.recorder.summary()

    # Events from the peer messenger.

    def on_ack(self, peer: str, ack: Ack) -> None:
        """Handle a peer's acknowledgement of a call."""
        self.fleet.on_ack(ack)

    def on_call_failed(self, peer: str, refused: bool) -> None:
        """Handle a failed call; `refused` means that the connection was refused."""
        self.fleet.on_call_failed(peer, refused)

    def on_delivery_failed(self, failed: DeliveryFailed) -> None:
        """Handle a message that was not acknowledged."""
        if isinstance(failed.message, ShardRequest | Claim):
            self.entry.receive(failed)

    def on_reply(self, peer: str, message: PeerMessage) -> None:
        """Handle a message that arrived in the reply to a call."""
        self._dispatch_message(message, peer)

    def on_local_message(self, message: PeerMessage) -> None:
        """Handle a message that this instance has sent to itself."""
        self._dispatch_message(message, self.settings.instance)

    # Events from the fleet task.

    def on_fleet_change(self) -> None:
        """Acquire and release servers after a change in the fleet."""
        if self.fleet.config is not None:
            self.owner.crashes.release(self.fleet.config.config.released)
            self.owner.update_ownership(self.fleet.config, self.fleet.owners)

    def on_list_adopted(self, listed: InstanceList) -> None:
        """Recompute the holders of request ids for a new instance list."""
        self.history.adopt_list(listed, self.clock.wall())

    def on_pause(self, seconds: float) -> None:
        """Drop queued messages, which were based on an outdated view of the fleet."""
        self.recorder.count("pauses")
        self.messenger.drop_queued()
        self.entry.wake_all()

    def send_heartbeat(self, peer: str, heartbeat: Heartbeat) -> None:
        """Send a heartbeat, with crash reports, in the next call to the peer."""
        crashes = self.owner.crashes.list_recent_reports(self.clock.now())
        self.messenger.send(peer, replace(heartbeat, crashes=crashes))

    def last_request_at(self) -> float:
        """Return when the last request came, in seconds of the monotonic clock."""
        return self._last_request_at

    def _dispatch_message(self, message: PeerMessage, sender: str) -> None:
        if isinstance(message, ShardRequest | Cancel | ServerReleased):
            self.owner.receive(message, sender)
        elif isinstance(message, ShardAnswer | ClaimReply):
            self.entry.receive(message)
        elif isinstance(message, Claim):
            is_working = self.fleet.lifecycle.phase in (Phase.READY, Phase.STOPPING)
            sees_majority = is_working and self.fleet.sees_fleet_majority()
            reply = self.claims.claim(message, sees_majority, self.clock.wall())
            self.messenger.send(sender, reply)
        elif isinstance(message, ClaimResult):
            self.claims.finish(message)
        elif isinstance(message, Heartbeat):
            self.owner.crashes.merge_reports(message.crashes, self.clock.now())
            self.fleet.on_heartbeat(message)

    def _find_owner(self, server: str) -> str | None:
        config = self.fleet.config
        if config is None or server not in config.config.servers:
            return None
        return self.fleet.find_owner(server, config.config)

    def _probe_replica_owners(self, request: ShardRequest) -> None:
        """Send a heartbeat to the owners of the shard's replicas immediately.

        It carries the crash report, so that they hold back a request that crashes
        servers.
        """
        config = self.fleet.config
        if config is None:
            return
        service_name, _, shard = request.shard.partition("/")
        service = config.config.services.get(service_name)
        servers = service.shards.get(shard, ()) if service else ()
        owners = {self._find_owner(server) for server in servers}
        for owner in owners - {None, self.settings.instance}:
            self.fleet.probe(str(owner))

    def _is_listed_as_leaving(self, server: str) -> bool:
        return self.fleet.membership.instance_list.servers.get(server) == "leaving"
