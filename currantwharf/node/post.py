"""The task that carries messages to other instances, many to a call."""

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

CALLS_AT_ONCE = 8  # calls under way to one peer, each held open for its answers
CALLS_WHEN_SILENT = 10  # calls under way when the oldest has waited long
SILENT_S = 0.15  # seconds without an acknowledgement that make a peer silent
MOST_MESSAGES = 256  # messages in one call
MOST_WAITING = 20_000  # messages that wait for one peer

log = component_logger("post")


class PostListener(Protocol):
    """Who hears what became of the messages."""

    def on_ack(self, peer: str, ack: Ack) -> None:
        """Hear that a peer has acknowledged a call."""

    def on_call_failed(self, peer: str, refused: bool) -> None:
        """Hear that a call to a peer failed, and whether it refused to connect."""

    def on_reply(self, peer: str, message: PeerMessage) -> None:
        """Receive a message that came back on a call of this instance."""

    def on_delivery_failed(self, failed: DeliveryFailed) -> None:
        """Hear that a message was not acknowledged."""

    def on_local(self, message: PeerMessage) -> None:
        """Receive a message that this instance has sent to itself."""


class PeerBox:
    """Hold the messages that wait for one peer and the calls under way to it."""

    def __init__(self) -> None:
        self.waiting: list[PeerMessage] = []
        self.slots: list[ReplySlot] = []
        self.calls: dict[int, float] = {}
        self.next_call = 0


class Post:
    """Own the outboxes to all peers.

    Messages that come up while calls are under way go together in the next one, so
    the number of calls grows with the number of peers and not with that of queries.
    A call is never repeated.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        client: PeerCalls,
        sender: str,
        boot_id: str,
        address_of: Callable[[str], str | None],
        listener: PostListener,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._client = client
        self._sender = sender
        self._boot_id = boot_id
        self._address_of = address_of
        self._listener = listener
        self._boxes: dict[str, PeerBox] = {}
        self._due: set[str] = set()
        self.calls_made = 0
        self.messages_sent = 0
        self.bytes_sent = 0

    def send(self, to: str, message: PeerMessage) -> None:
        """Send a message; it leaves at the end of this turn of the reactor."""
        if to == self._sender:
            self._reactor.callLater(0, self._listener.on_local, message)
            return
        box = self._boxes.setdefault(to, PeerBox())
        if box.slots and isinstance(message, ShardAnswer | ClaimReply):
            box.slots[0].add(message)
            return
        if len(box.waiting) >= MOST_WAITING:
            self._reactor.callLater(0, self._fail, to, [message], False)
            return
        box.waiting.append(message)
        if to not in self._due:
            self._due.add(to)
            self._reactor.callLater(0, self._flush, to)

    def open_slot(self, peer: str, expected: int) -> "Deferred[list[PeerMessage]]":
        """Hold a call of `peer` open for up to `expected` answers."""
        if not expected:
            return succeed([])
        box = self._boxes.setdefault(peer, PeerBox())
        slot = ReplySlot(self._reactor, expected)
        box.slots.append(slot)

        def closed(messages: list[PeerMessage]) -> list[PeerMessage]:
            box.slots.remove(slot)
            self.messages_sent += len(messages)
            return messages

        return slot.done.addCallback(closed)

    def is_silent(self, peer: str) -> bool:
        """Return whether a call to `peer` has waited long for its acknowledgement."""
        box = self._boxes.get(peer)
        if box is None or not box.calls:
            return False
        return self._clock.now() - min(box.calls.values()) > SILENT_S

    def drop_waiting(self) -> None:
        """Fail all that has not left, after a pause of this process."""
        for peer, box in self._boxes.items():
            waiting, box.waiting = box.waiting, []
            self._fail(peer, waiting, sent=False)

    def idle(self) -> bool:
        """Return whether nothing waits and no call is under way."""
        boxes = self._boxes.values()
        return not any(box.waiting or box.calls or box.slots for box in boxes)

    def _flush(self, peer: str) -> None:
        self._due.discard(peer)
        box = self._boxes[peer]
        limit = CALLS_WHEN_SILENT if self.is_silent(peer) else CALLS_AT_ONCE
        while box.waiting and len(box.calls) < limit:
            batch = box.waiting[:MOST_MESSAGES]
            del box.waiting[:MOST_MESSAGES]
            address = self._address_of(peer)
            if address is None:
                self._fail(peer, batch, sent=False)
                continue
            box.next_call += 1
            box.calls[box.next_call] = self._clock.now()
            ensureDeferred(self._call(peer, address, box, box.next_call, batch))
        if box.waiting and not self.is_silent(peer):
            self._reactor.callLater(SILENT_S, self._flush_if_waiting, peer)

    def _flush_if_waiting(self, peer: str) -> None:
        if self._boxes[peer].waiting:
            self._flush(peer)

    async def _call(
        self, peer: str, address: str, box: PeerBox, call: int, batch: list[PeerMessage]
    ) -> None:
        envelope = encode_envelope(self._sender, self._boot_id, batch)
        self.calls_made += 1
        self.messages_sent += len(batch)
        self.bytes_sent += len(envelope)
        try:
            reply = await self._client.post(address, envelope)
        except Exception as exc:
            del box.calls[call]
            log.info("a call to a peer failed", extra={"peer": peer, "why": repr(exc)})
            refused = isinstance(exc, ConnectionRefusedError)
            self._listener.on_call_failed(peer, refused)
            self._fail(peer, batch, may_have_been_sent(exc))
        else:
            del box.calls[call]
            self._listener.on_ack(peer, reply.ack)
            if reply.envelope is not None:
                for message in list_messages(reply.envelope):
                    self._listener.on_reply(peer, message)
        if box.waiting:
            self._flush(peer)

    def _fail(self, peer: str, messages: list[PeerMessage], sent: bool) -> None:
        for message in messages:
            self._listener.on_delivery_failed(DeliveryFailed(peer, message, sent))
