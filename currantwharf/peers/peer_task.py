"""Gossip with other instances, and fetch the changes that this instance lacks."""

import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import msgspec
from twisted.internet.protocol import DatagramProtocol

from currantwharf.documents.decode_errors import DECODE_ERRORS
from currantwharf.gateway.change_source import ChangeSource
from currantwharf.gateway.changes import RevisedChange, StoreEvents, StoreSnapshot
from currantwharf.gateway.crash_watch import CrashWatch
from currantwharf.gateway.instance_info import InstanceInfo
from currantwharf.gateway.limit_report import LimitReport
from currantwharf.gateway.registry import NEVER, Registry
from currantwharf.gateway.server_report import ServerReport
from currantwharf.gateway.store_change import ConfigChanged
from currantwharf.gateway.store_position import NO_ERA, StorePosition
from currantwharf.http1 import HttpRequest, Responder, parse_count
from currantwharf.peers.compression import compress_answer
from currantwharf.peers.crash_sync import CRASHES_PATH, CrashSync
from currantwharf.peers.hello import Hello, decode_hello, encode_hello
from currantwharf.peers.peer_fetch import fetch_from_peer
from currantwharf.peers.peer_table import NO_POSITION, PeerTable
from currantwharf.peers.report_datagram import decode_reports, encode_reports
from currantwharf.runtime.clock import Clock
from currantwharf.runtime.component_log import component_logger
from currantwharf.runtime.open_when_free import open_when_free
from currantwharf.runtime.repeating_task import RepeatingTask

GOSSIP_INTERVAL_S = 0.5
# Mean number of hellos from all of a data centre to other data centres in a round.
REMOTE_HELLOS_PER_ROUND = 1.0
# Largest share of rounds in which an instance sends a hello to other data centres.
MAX_REMOTE_HELLO_RATIO = 0.5
SEED_INTERVAL_ROUNDS = 12  # a hello to a seed at this interval heals a partition
STARTUP_SEEDING_S = 2.0  # time after the start in which every round contacts all seeds
MAX_LIMIT_REPORTS = 16  # in a hello
MAX_INLINE_BYTES = 900  # of changes in a datagram, which must fit into one packet
# More changes, or a configuration of more routes, are not even encoded to see whether
# they fit.
MAX_INLINE_CHANGES = 8
MAX_INLINE_ROUTES = 8
REMOTE_FETCH_DELAY_S = 0.7  # the local reader delivers most changes before this
# If the store has failed any instance, the local reader may receive no changes at all.
REMOTE_FETCH_DELAY_ON_STORE_FAILURE_S = 0.1
# Assumed age of a hello at its arrival. It exceeds the usual delay, so that a
# confirmation does not become younger as it is passed on.
HELLO_DELAY_S = 0.1
MAX_REVISION = 2**63 - 1
FETCH_PATH = b"/changes?after=%d&era=%d"
LOCAL_FANOUT = 2  # recipients of a change announcement in this data centre
REMOTE_FANOUT = 2  # recipients of a change announcement in other data centres
REMOTE_ANNOUNCERS = 3.0  # instances per data centre that announce a change remotely

log = component_logger("peers")


class PeerTask(DatagramProtocol):
    """Gossip protocol of one instance, on its datagram socket.

    `get_status` returns whether this instance is serving and whether it can read the
    store; `get_limit_reports` returns the reports to send. `on_changes` is called with
    the new changes received from a peer, `on_server_reports` with what it has found of
    servers, and `on_limit_reports` with what it has seen of their limits. The crashes
    in `crash_watch` are exchanged with all instances.
    `heard_at` is the monotonic time of the last hello received; `is_fetching` is true
    while changes are fetched from a peer.
    """

    transport: Any

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        instance_info: InstanceInfo,
        boot: str,
        table: PeerTable,
        registry: Registry,
        get_status: Callable[[], tuple[bool, bool]],
        crash_watch: CrashWatch,
        on_changes: Callable[[list[RevisedChange], ChangeSource], None],
        on_server_reports: Callable[[tuple[ServerReport, ...]], None],
        get_limit_reports: Callable[[], list[LimitReport]],
        on_limit_reports: Callable[[tuple[LimitReport, ...]], None],
        rng: random.Random,
    ) -> None:
        self.table = table
        self._reactor = reactor
        self._clock = clock
        self._instance_info = instance_info
        self._boot = boot
        self._registry = registry
        self._get_status = get_status
        self._crash_watch = crash_watch
        self._crash_sync = CrashSync(crash_watch, clock.now, self._request)
        self._on_changes = on_changes
        self._on_server_reports = on_server_reports
        self._get_limit_reports = get_limit_reports
        self._on_limit_reports = on_limit_reports
        self._rng = rng
        self.heard_at = -1e9
        self.is_fetching = False
        self._round_count = 0
        self._started_at = clock.now()
        self._rounds = RepeatingTask(reactor, "gossip", self._on_round)

    def start(self) -> None:
        """Open the socket, once its port is free, and start the gossip rounds."""
        info = self._instance_info
        open_when_free(
            self._reactor,
            "gossip",
            lambda: self._reactor.listenUDP(info.gossip_port, self, info.host),
        )
        self._rounds.start(GOSSIP_INTERVAL_S, now=True)

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Set the hosts at which other instances may be found."""
        self._instance_info = replace(self._instance_info, seeds=seeds)

    def announce_change(self) -> None:
        """Announce a change to a few other instances at once."""
        self.send_hellos(
            LOCAL_FANOUT,
            REMOTE_FANOUT if self._is_drawn_as_sender(REMOTE_ANNOUNCERS) else 0,
        )

    def send_hellos(self, local_count: int, remote_count: int) -> None:
        """Send hellos at once to random instances of this and other data centres."""
        for peer in self.table.choose_targets(
            self._clock.now(), local_count, remote_count
        ):
            self._send_hello(peer.host, peer.position, peer.data_centre)

    def request_hellos(self) -> None:
        """Ask a few instances for a hello, or the seeds if no instance is known."""
        targets = self.table.choose_targets(
            self._clock.now(), LOCAL_FANOUT, REMOTE_FANOUT
        )
        for host in [peer.host for peer in targets] or self._instance_info.seeds:
            self._request_hello(host)

    def send_to_all(self) -> None:
        """Send a hello at once to all known instances, for content that can't wait."""
        self.send_hellos(10_000, 10_000)

    def send_reports(self, reports: tuple[ServerReport, ...], data_centre: str) -> None:
        """Send reports on servers to the instances of a data centre that call them."""
        if self.transport is None or not reports:
            return
        datagram = encode_reports(reports)
        now = self._clock.now()
        for peer in self.table.choose_querying_instances(now, data_centre):
            self.transport.write(datagram, (peer.host, self._instance_info.gossip_port))

    def answer_fetch(self, request: HttpRequest, responder: Responder) -> None:
        """Answer a peer that fetches crashes, or the changes after its own revision."""
        if request.target == CRASHES_PATH:
            responder.finish(200, (), self._crash_sync.encode_all(self._clock.now()))
            return
        _, _, query = request.target.partition(b"after=")
        value, _, era_value = query.partition(b"&era=")
        after = parse_count(value, MAX_REVISION) or 0
        era = parse_count(era_value, MAX_REVISION)
        era = self._resolve_era(NO_ERA if era is None else era)
        found: StoreEvents | StoreSnapshot | None = None
        if after and era == self._registry.era:
            found = self._registry.get_events_after(after)
        if found is None:
            found = self._registry.build_snapshot()
        headers, body = compress_answer(msgspec.msgpack.encode(found), request)
        responder.finish(200, headers, body)

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Process a hello: record its sender and obtain the changes it announces."""
        reports = decode_reports(datagram)
        if reports is not None:
            self._on_server_reports(reports)
            return
        hello = decode_hello(datagram)
        if hello is None:
            log.warning("unreadable datagram; ignoring it", extra={"from": addr[0]})
            return
        if hello.name == self.table.name:
            return
        now = self._clock.now()
        self.heard_at = now
        hello = msgspec.structs.replace(hello, era=self._resolve_era(hello.era))
        is_new = self.table.record_hello(hello, now)
        self._crash_sync.on_hello(hello, now)
        if hello.limits:
            self._on_limit_reports(hello.limits)
        old_position = self._registry.position
        position = StorePosition(hello.era, hello.revision)
        if hello.era == self._registry.era:
            self._learn_in_same_era(hello, now)
        if position > self._registry.position:
            self._schedule_fetch(hello)
        # An earlier build that has missed a restore takes itself to be ahead. It would
        # reply to each reply.
        is_behind = position < old_position and bool(
            hello.era != NO_ERA or not self._registry.has_seen_restore
        )
        if is_new or hello.wants_reply or is_behind:
            self._send_hello(hello.host, position, hello.data_centre)

    def _learn_in_same_era(self, hello: Hello, now: float) -> None:
        """Apply the changes in a hello, and note what it confirms."""
        registry = self._registry
        if hello.events is not None and hello.events.after <= registry.revision:
            self._apply(
                msgspec.structs.replace(hello.events, era=hello.era), ChangeSource.HELLO
            )
        if hello.confirmed_age_s is not None:
            confirmed_at = now - max(0.0, hello.confirmed_age_s) - HELLO_DELAY_S
            registry.confirm(hello.revision, confirmed_at)
        elif hello.is_serving:
            registry.confirm(hello.revision, NEVER)

    def _resolve_era(self, era: int) -> int:
        """Return the era of what an instance tells.

        Earlier builds name none, and do not notice when the store is restored. Until
        this instance has seen that happen, they are taken to know the same era.
        """
        if era != NO_ERA or self._registry.has_seen_restore:
            return era
        return self._registry.era

    def _on_round(self) -> None:
        now = self._clock.now()
        self.table.expire(now)
        self._round_count += 1
        self.send_hellos(
            1,
            int(
                self._is_drawn_as_sender(
                    REMOTE_HELLOS_PER_ROUND, MAX_REMOTE_HELLO_RATIO
                )
            ),
        )
        if (
            now - self._started_at < STARTUP_SEEDING_S
            or not self.table.has_recent_contact(now)
        ):
            for host in self._instance_info.seeds:
                self._request_hello(host)
        elif (
            self._round_count % SEED_INTERVAL_ROUNDS == 0 and self._instance_info.seeds
        ):
            self._request_hello(self._rng.choice(self._instance_info.seeds))

    def _request_hello(self, host: str) -> None:
        if host != self._instance_info.host:
            self._send_hello(
                host, NO_POSITION, self._instance_info.data_centre, wants_reply=True
            )

    def _is_drawn_as_sender(
        self, expected_senders: float, max_probability: float = 1.0
    ) -> bool:
        """Draw whether this instance sends.

        On average `expected_senders` instances of the data centre are drawn.
        """
        instance_count = self.table.data_centre_size(self._clock.now())
        return self._rng.random() < min(
            max_probability, expected_senders / instance_count
        )

    def _send_hello(
        self,
        host: str,
        known_position: StorePosition,
        data_centre: str,
        wants_reply: bool = False,
    ) -> None:
        if self.transport is None:
            return
        now = self._clock.now()
        is_serving, can_read = self._get_status()
        events = self._select_inline_events(known_position)
        hello = Hello(
            self.table.name,
            self._boot,
            self._instance_info.host,
            self._instance_info.data_centre,
            is_serving,
            can_read,
            self._registry.revision,
            self.table.choose_member_summaries(data_centre, now),
            self._crash_watch.list_recent_reports(now),
            events,
            wants_reply,
            self._instance_info.cores,
            self.table.list_counts(now),
            # A packet has no room for both.
            self._select_limit_reports() if events is None else (),
            self._crash_watch.table.count_losses(now),
            self._get_confirmed_age_s(now),
            self._registry.era,
        )
        self.transport.write(
            encode_hello(hello), (host, self._instance_info.gossip_port)
        )

    def _get_confirmed_age_s(self, now: float) -> float | None:
        if not self._registry.is_confirmed or self._registry.confirmed_at == NEVER:
            return None
        return round(now - self._registry.confirmed_at, 2)

    def _select_inline_events(self, known: StorePosition) -> StoreEvents | None:
        is_same_era = known.era == self._registry.era
        if not is_same_era or not 0 < known.revision < self._registry.revision:
            return None
        events = self._registry.get_events_after(known.revision)
        if events is None or len(events.changes) > MAX_INLINE_CHANGES:
            return None
        if any(_count_routes(change) > MAX_INLINE_ROUTES for change in events.changes):
            return None
        is_small = len(msgspec.msgpack.encode(events)) <= MAX_INLINE_BYTES
        return events if is_small else None

    def _select_limit_reports(self) -> tuple[LimitReport, ...]:
        reports = self._get_limit_reports()
        count = min(MAX_LIMIT_REPORTS, len(reports))
        return tuple(self._rng.sample(reports, count))

    def _schedule_fetch(self, hello: Hello) -> None:
        """Fetch at once from the same data centre, and after a delay from another one.

        Traffic between data centres is expensive, and each data centre has a reader of
        its own: the fetch is skipped if the changes have arrived before the delay ends.
        An instance that has no revision yet, or one of an earlier era, fetches at once.
        """
        is_local = hello.data_centre == self._instance_info.data_centre
        is_restored = hello.era > self._registry.era
        if is_local or is_restored or self._registry.revision == 0:
            delay_s = 0.0
        elif self.table.has_recent_store_failure(self._clock.now()):
            delay_s = REMOTE_FETCH_DELAY_ON_STORE_FAILURE_S
        else:
            delay_s = REMOTE_FETCH_DELAY_S
        position = StorePosition(hello.era, hello.revision)
        self._reactor.callLater(delay_s, self._fetch, hello.host, position)

    def _fetch(self, host: str, position: StorePosition) -> None:
        if self.is_fetching or self._registry.position >= position:
            return
        self.is_fetching = True

        def finish(body: bytes | None) -> None:
            self.is_fetching = False
            self._on_fetched(body, host)

        target = FETCH_PATH % (self._registry.revision, self._registry.era)
        self._request(host, target, finish)

    def _request(
        self, host: str, target: bytes, on_body: Callable[[bytes | None], None]
    ) -> None:
        address = (host, self._instance_info.fetch_port)
        fetch_from_peer(self._reactor, self._clock, address, target, on_body)

    def _on_fetched(self, body: bytes | None, host: str) -> None:
        if body is None:
            log.info(
                "could not fetch changes from a peer; retrying after a later hello",
                extra={"from": host},
            )
            return
        try:
            found = msgspec.msgpack.decode(body, type=StoreEvents | StoreSnapshot)
        except DECODE_ERRORS as exc:
            log.warning(
                "changes fetched from a peer are unreadable; ignoring them",
                extra={"from": host, "why": str(exc)},
            )
            return
        era = self._resolve_era(found.era)
        self._apply(msgspec.structs.replace(found, era=era), ChangeSource.FETCH)

    def _apply(self, found: StoreEvents | StoreSnapshot, source: ChangeSource) -> None:
        now = self._clock.now()
        old_position = self._registry.position
        if isinstance(found, StoreSnapshot):
            changes = self._registry.apply_snapshot(found, now)
        else:
            changes = self._registry.apply_events(found, now)
        if changes:
            self._on_changes(changes, source)
        if self._registry.position > old_position:
            self.announce_change()


def _count_routes(change: RevisedChange) -> int:
    """Return the number of routes in a change, 0 unless it is a configuration."""
    store_change = change.change
    if not isinstance(store_change, ConfigChanged):
        return 0
    return len(store_change.config.routes)
