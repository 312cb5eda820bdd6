"""A time-out that ends an exchange whose response makes no progress.

The load: a response of a megabyte over a link that other transfers share. A fixed time
would end it whenever the link is busy, and the next try would start from its beginning.
"""

from collections.abc import Callable
from typing import Any

from currantwharf.http1.exchange import Exchange


class ProgressTimeout:
    """Calls `on_timeout` if an exchange makes no progress, or takes too long in all.

    The first byte has to arrive within `first_byte_s` seconds, and each later one
    within `silence_s` of the one before, checked once in that time. `limit_s` bounds
    the whole, so that a trickle of bytes does not hold an exchange for ever.
    """

    def __init__(
        self,
        reactor: Any,
        exchange: Exchange,
        first_byte_s: float,
        silence_s: float,
        limit_s: float,
        on_timeout: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._exchange = exchange
        self._silence_s = silence_s
        self._limit_at = reactor.seconds() + limit_s
        self._on_timeout = on_timeout
        self._received_bytes = 0
        self._timer = reactor.callLater(min(first_byte_s, limit_s), self._check)

    def stop(self) -> None:
        """End the time-out, as the exchange has a result."""
        if self._timer.active():
            self._timer.cancel()

    def _check(self) -> None:
        received_bytes = self._exchange.received_bytes
        left_s = self._limit_at - self._reactor.seconds()
        if received_bytes == self._received_bytes or left_s <= 0:
            self._on_timeout()
            return
        self._received_bytes = received_bytes
        self._timer = self._reactor.callLater(min(self._silence_s, left_s), self._check)
