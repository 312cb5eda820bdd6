"""A peer's call that is held open, so that its reply can carry the answers."""

from typing import Any

from twisted.internet.defer import Deferred

from currantwharf.wire import PeerMessage

MAX_HOLD_S = 0.04
LINGER_S = 0.003  # how long the first answer waits for further ones


class ReplySlot:
    """Collects the messages for the reply to a peer's open call.

    The call ends once every request in it is answered, `LINGER_S` after the first
    answer, or after `MAX_HOLD_S`. Later answers travel in a call of their own, so
    that one slow answer does not delay the others.
    """

    def __init__(self, reactor: Any, expected: int) -> None:
        self.messages: list[PeerMessage] = []
        self.done: Deferred[list[PeerMessage]] = Deferred()
        self._reactor = reactor
        self._expected = expected
        self._timer = reactor.callLater(MAX_HOLD_S, self.close)

    @property
    def is_open(self) -> bool:
        """Whether the call still waits for its reply."""
        return not self.done.called

    def add(self, message: PeerMessage) -> None:
        """Add a message to the reply."""
        self.messages.append(message)
        if len(self.messages) >= self._expected:
            self.close()
        elif len(self.messages) == 1:
            self._stop_timer()
            self._timer = self._reactor.callLater(LINGER_S, self.close)

    def close(self) -> None:
        """End the call; its reply carries the messages added so far."""
        self._stop_timer()
        if self.is_open:
            self.done.callback(self.messages)

    def _stop_timer(self) -> None:
        if self._timer.active():
            self._timer.cancel()
