"""The response channel of one request."""

from collections.abc import Callable, Iterable

from currantwharf.http1.message import Header


class Responder:
    """Writer of the response to one request, which is written at most once.

    `network_delay_s` is the time in seconds that the caller spends on the network: one
    round trip for the request and its response, and one more if the connection is new.
    `acknowledge` writes an interim response.
    """

    __slots__ = (
        "_write",
        "_on_disconnect",
        "_is_done",
        "network_delay_s",
        "acknowledge",
    )

    def __init__(
        self,
        write: Callable[[int, Iterable[Header], bytes], None],
        network_delay_s: float = 0.0,
        acknowledge: Callable[[], None] = lambda: None,
    ) -> None:
        self.acknowledge = acknowledge
        self._write = write
        self._on_disconnect: Callable[[], None] | None = None
        self._is_done = False
        self.network_delay_s = network_delay_s

    def on_disconnect(self, handler: Callable[[], None]) -> None:
        """Register a handler for a caller that disconnects before the response."""
        self._on_disconnect = handler

    def finish(self, status: int, headers: Iterable[Header], body: bytes) -> None:
        """Write the response, unless the caller has disconnected."""
        if not self._is_done:
            self._is_done = True
            self._write(status, headers, body)

    def notify_disconnect(self) -> None:
        """Record that the caller has disconnected and call the registered handler."""
        if not self._is_done:
            self._is_done = True
            if self._on_disconnect is not None:
                self._on_disconnect()
