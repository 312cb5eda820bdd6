"""Tell other instances how this one stands, and fetch from them what it lacks."""

import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import msgspec
from twisted.internet.protocol import DatagramProtocol
from twisted.internet.task import LoopingCall

from currantwharf.gateway.changes import RevisedChange, StoreEvents, StoreSnapshot
from currantwharf.gateway.instance_info import InstanceInfo
from currantwharf.gateway.registry import Registry
from currantwharf.http1 import (
    ConnectionFailure,
    ConnectionPool,
    Exchange,
    HttpRequest,
    HttpResponse,
    Responder,
    encode_request,
)
from currantwharf.peers.hello import Hello, decode_hello, encode_hello
from currantwharf.peers.peer_table import PeerTable
from currantwharf.policy.crash_report import CrashReport
from currantwharf.runtime.clock import Clock
from currantwharf.runtime.component_log import component_logger

GOSSIP_S = 0.5  # seconds between two rounds
FAR_HELLOS = 1.0  # that all instances of a data centre send others in a round
MOST_FAR = 0.5  # of the rounds in which one instance tells another data centre
SEED_ROUNDS = 12  # rounds of which one also tells a seed, which heals a split
SEEDS_UNTIL_S = 2.0  # seconds after the start in which all seeds are told as well
MOST_INLINE_BYTES = 900  # bytes of changes in a datagram; it must fit one packet
FETCH_TIMEOUT_S = 1.0  # seconds; peers answer from memory
FAR_DELAY_S = 0.7  # seconds; the reader near by has most changes before that
FAR_DELAY_IN_TROUBLE_S = 0.1  # seconds; the reader near by may hear nothing at all
FETCH_PATH = b"/changes?after=%d"
RUMOUR_NEAR = 2  # instances of this data centre that hear of a change at once
RUMOUR_FAR = 2  # instances of others that hear of a change at once
FAR_RUMOURS = 3.0  # instances of a data centre that tell others of a change

log = component_logger("peers")


class PeerTask(DatagramProtocol):
    """Own the datagram socket and the exchanges with other instances.

    `standing` returns whether this instance serves and whether the store answers it.
    `on_news` hears the changes that a peer has told of, `on_losses` the losses.
    """

    transport: Any

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        place: InstanceInfo,
        boot: str,
        table: PeerTable,
        registry: Registry,
        standing: Callable[[], tuple[bool, bool]],
        losses: Callable[[], tuple[CrashReport, ...]],
        on_news: Callable[[list[RevisedChange]], None],
        on_losses: Callable[[tuple[CrashReport, ...]], None],
        rng: random.Random,
    ) -> None:
        self.table = table
        self._reactor = reactor
        self._clock = clock
        self._place = place
        self._boot = boot
        self._registry = registry
        self._standing = standing
        self._losses = losses
        self._on_news = on_news
        self._on_losses = on_losses
        self._rng = rng
        self.heard_at = -1e9
        self._is_fetching = False
        self._round = 0
        self._began_at = clock.now()
        self._rounds = LoopingCall(self._on_round)
        self._rounds.clock = reactor

    def start(self) -> None:
        """Begin to tell others."""
        self._reactor.listenUDP(self._place.gossip_port, self, self._place.host)
        self._rounds.start(GOSSIP_S, now=True)

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Set where other instances may be found."""
        self._place = replace(self._place, seeds=seeds)

    def announce_change(self) -> None:
        """Tell some others of a change at once."""
        self.send_hellos(RUMOUR_NEAR, RUMOUR_FAR if self._is_chosen(FAR_RUMOURS) else 0)

    def send_hellos(self, near: int, far: int) -> None:
        """Tell some others at once, near by and in other data centres."""
        for peer in self.table.targets(self._clock.now(), near, far):
            self._send(peer.host, peer.revision, peer.data_centre)

    def request_hellos(self) -> None:
        """Ask some others how things stand, and the seeds if none is known."""
        targets = self.table.targets(self._clock.now(), RUMOUR_NEAR, RUMOUR_FAR)
        for host in [peer.host for peer in targets] or self._place.seeds:
            self._ask(host)

    def send_to_all(self) -> None:
        """Tell all others at once, of what must not wait for rumours."""
        self.send_hellos(10_000, 10_000)

    def answer_fetch(self, request: HttpRequest, responder: Responder) -> None:
        """Answer a peer that fetches what it lacks."""
        _, _, value = request.target.partition(b"after=")
        after = int(value) if value.isdigit() else 0
        found: StoreEvents | StoreSnapshot | None = None
        if after:
            found = self._registry.events_after(after)
        if found is None:
            found = self._registry.snapshot()
        responder.finish(200, (), msgspec.msgpack.encode(found))

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Take a hello in."""
        hello = decode_hello(datagram)
        if hello is None:
            log.warning("datagram unreadable", extra={"from": addr[0]})
            return
        if hello.name == self.table.name:
            return
        now = self._clock.now()
        self.heard_at = now
        is_new = self.table.record_hello(hello, now)
        if hello.losses:
            self._on_losses(hello.losses)
        before = self._registry.revision
        if hello.events is not None and hello.events.after <= before:
            self._take(hello.events)
        if hello.revision > self._registry.revision:
            self._plan_fetch(hello)
        if is_new or hello.wants_reply or hello.revision < before:
            self._send(hello.host, hello.revision, hello.data_centre)

    def _on_round(self) -> None:
        now = self._clock.now()
        self.table.expire(now)
        self._round += 1
        self.send_hellos(1, int(self._is_chosen(FAR_HELLOS, MOST_FAR)))
        if now - self._began_at < SEEDS_UNTIL_S or not self.table.has_recent_contact(
            now
        ):
            for host in self._place.seeds:
                self._ask(host)
        elif self._round % SEED_ROUNDS == 0 and self._place.seeds:
            self._ask(self._rng.choice(self._place.seeds))

    def _ask(self, host: str) -> None:
        if host != self._place.host:
            self._send(host, 0, self._place.data_centre, wants_reply=True)

    def _is_chosen(self, of_all: float, most: float = 1.0) -> bool:
        """Draw whether this instance is one of so many of its data centre."""
        near_size = self.table.near_size(self._clock.now())
        return self._rng.random() < min(most, of_all / near_size)

    def _send(
        self,
        host: str,
        known_revision: int,
        data_centre: str,
        wants_reply: bool = False,
    ) -> None:
        if self.transport is None:
            return
        now = self._clock.now()
        is_serving, can_read = self._standing()
        hello = Hello(
            self.table.name,
            self._boot,
            self._place.host,
            self._place.data_centre,
            is_serving,
            can_read,
            self._registry.revision,
            self.table.member_summaries(data_centre, now),
            self._losses(),
            self._inline(known_revision),
            wants_reply,
            self._place.cores,
            self.table.counts(now),
        )
        self.transport.write(encode_hello(hello), (host, self._place.gossip_port))

    def _inline(self, known_revision: int) -> StoreEvents | None:
        if not 0 < known_revision < self._registry.revision:
            return None
        events = self._registry.events_after(known_revision)
        if events is None or len(events.changes) > 8:
            return None
        is_small = len(msgspec.msgpack.encode(events)) <= MOST_INLINE_BYTES
        return events if is_small else None

    def _plan_fetch(self, hello: Hello) -> None:
        """Fetch at once inside a data centre, from others only if nobody near helps.

        Bytes between data centres are dear, and each has a reader of its own.
        """
        near = hello.data_centre == self._place.data_centre
        if near or self._registry.revision == 0:
            delay_s = 0.0
        elif self.table.has_recent_store_failure(self._clock.now()):
            delay_s = FAR_DELAY_IN_TROUBLE_S
        else:
            delay_s = FAR_DELAY_S
        self._reactor.callLater(delay_s, self._fetch, hello.host, hello.revision)

    def _fetch(self, host: str, revision: int) -> None:
        if self._is_fetching or self._registry.revision >= revision:
            return
        self._is_fetching = True
        pool = ConnectionPool(
            self._reactor, self._clock.now, (host, self._place.fetch_port), 1
        )
        target = FETCH_PATH % self._registry.revision
        data = encode_request(b"GET", target, [(b"host", host.encode())])

        def done(result: HttpResponse | ConnectionFailure) -> None:
            self._is_fetching = False
            if timer.active():
                timer.cancel()
            pool.close()
            self._on_fetched(result, host)

        exchange = Exchange(
            lambda now: data,
            lambda answer: True,
            self._clock.now() + FETCH_TIMEOUT_S,
            False,
            done,
        )
        timer = self._reactor.callLater(
            FETCH_TIMEOUT_S, pool.cancel, exchange, ConnectionFailure.TIMED_OUT
        )
        pool.send(exchange)

    def _on_fetched(self, result: HttpResponse | ConnectionFailure, host: str) -> None:
        if isinstance(result, ConnectionFailure) or result.status != 200:
            log.info("nothing fetched", extra={"from": host})
            return
        try:
            found = msgspec.msgpack.decode(
                result.body, type=StoreEvents | StoreSnapshot
            )
        except msgspec.DecodeError as exc:
            log.warning("changes unreadable", extra={"from": host, "why": str(exc)})
            return
        self._take(found)

    def _take(self, found: StoreEvents | StoreSnapshot) -> None:
        now = self._clock.now()
        before = self._registry.revision
        if isinstance(found, StoreSnapshot):
            member_summaries = self._registry.apply_snapshot(found, now)
        else:
            member_summaries = self._registry.apply_events(found, now)
        if member_summaries:
            self._on_news(member_summaries)
        if self._registry.revision > before:
            self.announce_change()
