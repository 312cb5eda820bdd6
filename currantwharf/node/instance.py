"""One instance: the tasks wired together, and its three interfaces."""

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
from currantwharf.node.post import Post
from currantwharf.node.status import describe
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
    """Wire the tasks of one instance and pass messages between them."""

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
        self.messenger = Post(
            reactor, clock, peers, name, self.boot_id, self.fleet.address_of, self
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
            self._owner_of,
            self.messenger,
            interfaces.make_backend,
            self.recorder,
            self._tell_of_crash,
        )
        self._last_caller_at = clock.now()

    def start(self) -> None:
        """Begin to learn of the fleet."""
        self.fleet.start()

    # The callers' interface.

    def config_for_callers(self) -> PublishedConfig | None:
        """Return the configuration, or None while no request may be taken."""
        self.fleet.observe_time()
        if self.fleet.record.phase not in (Phase.READY, Phase.STOPPING):
            return None
        return self.fleet.config.config if self.fleet.config is not None else None

    def is_stopping(self) -> bool:
        """Return whether callers should go elsewhere from now on."""
        return self.fleet.record.phase is Phase.STOPPING

    def read_clocks(self) -> tuple[float, float]:
        """Return the monotonic clock and the Unix time, in seconds."""
        return self.clock.now(), self.clock.wall()

    def run(self, request: CallerRequest) -> "Deferred[QueryResult]":
        """Run a caller's request."""
        self._last_caller_at = self.clock.now()
        return self.entry.run(request)

    def count_refused(self, error: CallerErrorType) -> None:
        """Count a request that was refused for its input."""
        self.recorder.count(f"refused_input.{error}")

    # The peer interface.

    def receive_envelope(self, envelope: Envelope) -> "Deferred[bytes]":
        """Take the messages of a peer in; the call is held open for their answers."""
        self.fleet.observe_time()
        expected = len(envelope.requests) + len(envelope.claims)
        answers = self.messenger.open_slot(envelope.sender, expected)
        for message in list_messages(envelope):
            self._take(message, envelope.sender)
        return answers.addCallback(
            lambda messages: encode_reply(self.fleet.standing(), messages)
        )

    def current_config(self) -> VersionedConfig | None:
        """Return the configuration in force."""
        return self.fleet.config

    def current_instance_list(self) -> InstanceList:
        """Return the instance list."""
        return self.fleet.membership.instance_list

    def member_updates(self) -> tuple[MemberUpdate, ...]:
        """Return all beliefs about the fleet."""
        return self.fleet.membership.export_updates()

    # The operators' interface.

    def is_ready(self) -> bool:
        """Return whether the balancer may send callers here."""
        return self.fleet.record.phase is Phase.READY

    def status(self) -> dict[str, object]:
        """Return the state of the instance."""
        return describe(self)

    def metrics(self) -> dict[str, object]:
        """Return the counters and histograms."""
        return self.recorder.summary()

    # What the post tells.

    def on_ack(self, peer: str, ack: Ack) -> None:
        """Hear that a peer has acknowledged a call."""
        self.fleet.on_ack(ack)

    def on_call_failed(self, peer: str, refused: bool) -> None:
        """Hear that a call to a peer failed, and whether it refused to connect."""
        self.fleet.on_call_failed(peer, refused)

    def on_delivery_failed(self, failed: DeliveryFailed) -> None:
        """Hear that a message was not acknowledged."""
        if isinstance(failed.message, ShardRequest | Claim):
            self.entry.tell(failed)

    def on_reply(self, peer: str, message: PeerMessage) -> None:
        """Receive a message that came back on a call of this instance."""
        self._take(message, peer)

    def on_local(self, message: PeerMessage) -> None:
        """Receive a message that this instance has sent to itself."""
        self._take(message, self.settings.instance)

    # What the fleet tells.

    def on_fleet_change(self) -> None:
        """Take up and let go of servers after a change in the fleet."""
        if self.fleet.config is not None:
            self.owner.crashes.release(self.fleet.config.config.released)
            self.owner.sync(self.fleet.config, self.fleet.owners)

    def on_list(self, listed: InstanceList) -> None:
        """Note who the holders of request ids are now."""
        self.history.adopt_list(listed, self.clock.wall())

    def on_pause(self, seconds: float) -> None:
        """Drop what was about to be sent on old belief."""
        self.recorder.count("pauses")
        self.messenger.drop_waiting()
        self.entry.wake_all()

    def send_heartbeat(self, peer: str, heartbeat: Heartbeat) -> None:
        """Send a heartbeat with the other messages for that peer."""
        crashes = self.owner.crashes.recent_reports(self.clock.now())
        self.messenger.send(peer, replace(heartbeat, crashes=crashes))

    def idle_since(self) -> float:
        """Return when the last caller's request came, on the monotonic clock."""
        return self._last_caller_at

    def _take(self, message: PeerMessage, sender: str) -> None:
        if isinstance(message, ShardRequest | Cancel | ServerReleased):
            self.owner.tell(message, sender)
        elif isinstance(message, ShardAnswer | ClaimReply):
            self.entry.tell(message)
        elif isinstance(message, Claim):
            at_work = self.fleet.record.phase in (Phase.READY, Phase.STOPPING)
            vouches = at_work and self.fleet.sees_fleet_majority()
            reply = self.claims.claim(message, vouches, self.clock.wall())
            self.messenger.send(sender, reply)
        elif isinstance(message, ClaimResult):
            self.claims.finish(message)
        elif isinstance(message, Heartbeat):
            self.owner.crashes.merge_reports(message.crashes, self.clock.now())
            self.fleet.on_heartbeat(message)

    def _owner_of(self, server: str) -> str | None:
        config = self.fleet.config
        if config is None or server not in config.config.servers:
            return None
        return self.fleet.find_owner(server, config.config)

    def _tell_of_crash(self, request: ShardRequest) -> None:
        """Tell the owners of the shard's other replicas at once."""
        config = self.fleet.config
        if config is None:
            return
        service, _, shard = request.shard.partition("/")
        declared = config.config.services.get(service)
        servers = declared.shards.get(shard, ()) if declared else ()
        owners = {self._owner_of(server) for server in servers}
        for owner in owners - {None, self.settings.instance}:
            self.fleet.probe(str(owner))

    def _is_listed_as_leaving(self, server: str) -> bool:
        return self.fleet.membership.instance_list.servers.get(server) == "leaving"
