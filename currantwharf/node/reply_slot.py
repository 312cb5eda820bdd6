"""A call of a peer that is held open for the answers to what it brought."""

from typing import Any

from twisted.internet.defer import Deferred

from currantwharf.wire import PeerMessage

HOLD_S = 0.04  # seconds that a call is held open at most
LINGER_S = 0.003  # seconds that a ready answer waits for its siblings


class ReplySlot:
    """Collect messages for the peer whose call is open.

    The call ends when all that it asked is answered, soon after the first answer, or
    after the longest hold. What comes later goes in an envelope of its own, so that
    one straggler holds nothing up.
    """

    def __init__(self, reactor: Any, expected: int) -> None:
        self.messages: list[PeerMessage] = []
        self.done: Deferred[list[PeerMessage]] = Deferred()
        self._reactor = reactor
        self._expected = expected
        self._timer = reactor.callLater(HOLD_S, self.close)

    @property
    def is_open(self) -> bool:
        """Whether the call still waits."""
        return not self.done.called

    def add(self, message: PeerMessage) -> None:
        """Take a message for the peer."""
        self.messages.append(message)
        if len(self.messages) >= self._expected:
            self.close()
        elif len(self.messages) == 1:
            self._stop_timer()
            self._timer = self._reactor.callLater(LINGER_S, self.close)

    def close(self) -> None:
        """End the call with what is there."""
        self._stop_timer()
        if self.is_open:
            self.done.callback(self.messages)

    def _stop_timer(self) -> None:
        if self._timer.active():
            self._timer.cancel()
