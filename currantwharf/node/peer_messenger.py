"""Sends messages to other instances, many in one call."""

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred, ensureDeferred, succeed
from twisted.internet.error import ConnectionRefusedError

from currantwharf.adapters.http_errors import may_have_been_sent
from currantwharf.node.interfaces import PeerCalls
from currantwharf.node.reply_slot import ReplySlot
from currantwharf.query import DeliveryFailed
from currantwharf.runtime.clock import Clock
from currantwharf.runtime.component_log import component_logger
from currantwharf.wire import (
    Ack,
    ClaimReply,
    PeerMessage,
    ShardAnswer,
    encode_envelope,
    list_messages,
)

MAX_CALLS_PER_PEER = 8  # in flight; each is held open for its answers
MAX_CALLS_PER_SILENT_PEER = 10  # in flight, while the peer counts as silent
SILENT_AFTER_S = 0.15  # age of an unacknowledged call that makes a peer silent
MAX_MESSAGES_PER_CALL = 256
MAX_QUEUED_MESSAGES = 20_000  # per peer; further messages fail as not sent

log = component_logger("post")


class MessengerListener(Protocol):
    """The receiver of replies, acknowledgements and failures."""

    def on_ack(self, peer: str, ack: Ack) -> None:
        """Handle a peer's acknowledgement of a call."""

    def on_call_failed(self, peer: str, refused: bool) -> None:
        """Handle a failed call; `refused` means that the connection was refused."""

    def on_reply(self, peer: str, message: PeerMessage) -> None:
        """Handle a message that arrived in the reply to a call."""

    def on_delivery_failed(self, failed: DeliveryFailed) -> None:
        """Handle a message that was not acknowledged."""

    def on_local_message(self, message: PeerMessage) -> None:
        """Handle a message that this instance has sent to itself."""


class PeerOutbox:
    """The queued messages and the calls in flight for one peer.

    `calls` maps the number of each call in flight to the time at which it was sent, in
    seconds of the monotonic clock. `reply_slots` are the peer's own calls that are
    held open here.
    """

    def __init__(self) -> None:
        self.queued: list[PeerMessage] = []
        self.reply_slots: list[ReplySlot] = []
        self.calls: dict[int, float] = {}
        self.last_call_number = 0


class PeerMessenger:
    """Sends messages to all peers and reports what became of them.

    Messages that arise while calls are in flight share the next call, so the number
    of calls grows with the number of peers and not with the number of queries. A call
    is never retried.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        client: PeerCalls,
        sender: str,
        boot_id: str,
        find_peer_address: Callable[[str], str | None],
        listener: MessengerListener,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._client = client
        self._sender = sender
        self._boot_id = boot_id
        self._find_peer_address = find_peer_address
        self._listener = listener
        self._outboxes: dict[str, PeerOutbox] = {}
        self._scheduled_flushes: set[str] = set()
        self.calls_made = 0
        self.messages_sent = 0
        self.bytes_sent = 0

    def send(self, peer: str, message: PeerMessage) -> None:
        """Send a message at the end of this turn of the reactor.

        An answer goes into the reply to a call of the peer, if one is held open.
        """
        if peer == self._sender:
            self._reactor.callLater(0, self._listener.on_local_message, message)
            return
        outbox = self._outboxes.setdefault(peer, PeerOutbox())
        if outbox.reply_slots and isinstance(message, ShardAnswer | ClaimReply):
            outbox.reply_slots[0].add(message)
            return
        if len(outbox.queued) >= MAX_QUEUED_MESSAGES:
            self._reactor.callLater(0, self._fail, peer, [message], False)
            return
        outbox.queued.append(message)
        if peer not in self._scheduled_flushes:
            self._scheduled_flushes.add(peer)
            self._reactor.callLater(0, self._flush, peer)

    def open_reply_slot(
        self, peer: str, expected: int
    ) -> "Deferred[list[PeerMessage]]":
        """Delay the reply to a call from `peer`, to collect up to `expected` answers.

        The deferred fires with the answers once the reply has to be sent.
        """
        if not expected:
            return succeed([])
        outbox = self._outboxes.setdefault(peer, PeerOutbox())
        slot = ReplySlot(self._reactor, expected)
        outbox.reply_slots.append(slot)

        def on_closed(messages: list[PeerMessage]) -> list[PeerMessage]:
            outbox.reply_slots.remove(slot)
            self.messages_sent += len(messages)
            return messages

        return slot.done.addCallback(on_closed)

    def is_silent(self, peer: str) -> bool:
        """Return whether a call to `peer` is unacknowledged after `SILENT_AFTER_S`."""
        outbox = self._outboxes.get(peer)
        if outbox is None or not outbox.calls:
            return False
        return self._clock.now() - min(outbox.calls.values()) > SILENT_AFTER_S

    def drop_queued(self) -> None:
        """Report all queued messages as not sent, after a pause of this process."""
        for peer, outbox in self._outboxes.items():
            queued, outbox.queued = outbox.queued, []
            self._fail(peer, queued, sent=False)

    def is_idle(self) -> bool:
        """Return whether no message is queued and no call is in flight."""
        outboxes = self._outboxes.values()
        return not any(o.queued or o.calls or o.reply_slots for o in outboxes)

    def _flush(self, peer: str) -> None:
        self._scheduled_flushes.discard(peer)
        outbox = self._outboxes[peer]
        max_calls = (
            MAX_CALLS_PER_SILENT_PEER if self.is_silent(peer) else MAX_CALLS_PER_PEER
        )
        while outbox.queued and len(outbox.calls) < max_calls:
            batch = outbox.queued[:MAX_MESSAGES_PER_CALL]
            del outbox.queued[:MAX_MESSAGES_PER_CALL]
            address = self._find_peer_address(peer)
            if address is None:
                self._fail(peer, batch, sent=False)
                continue
            outbox.last_call_number += 1
            outbox.calls[outbox.last_call_number] = self._clock.now()
            ensureDeferred(
                self._call(peer, address, outbox, outbox.last_call_number, batch)
            )
        if outbox.queued and not self.is_silent(peer):
            self._reactor.callLater(SILENT_AFTER_S, self._flush_if_queued, peer)

    def _flush_if_queued(self, peer: str) -> None:
        if self._outboxes[peer].queued:
            self._flush(peer)

    async def _call(
        self,
        peer: str,
        address: str,
        outbox: PeerOutbox,
        call: int,
        batch: list[PeerMessage],
    ) -> None:
        envelope = encode_envelope(self._sender, self._boot_id, batch)
        self.calls_made += 1
        self.messages_sent += len(batch)
        self.bytes_sent += len(envelope)
        try:
            reply = await self._client.post(address, envelope)
        except Exception as exc:
            del outbox.calls[call]
            log.info("call to a peer failed", extra={"peer": peer, "why": repr(exc)})
            refused = isinstance(exc, ConnectionRefusedError)
            self._listener.on_call_failed(peer, refused)
            self._fail(peer, batch, may_have_been_sent(exc))
        else:
            del outbox.calls[call]
            self._listener.on_ack(peer, reply.ack)
            if reply.envelope is not None:
                for message in list_messages(reply.envelope):
                    self._listener.on_reply(peer, message)
        if outbox.queued:
            self._flush(peer)

    def _fail(self, peer: str, messages: list[PeerMessage], sent: bool) -> None:
        for message in messages:
            self._listener.on_delivery_failed(DeliveryFailed(peer, message, sent))
