"""The place where the answer to one request goes."""

from collections.abc import Callable, Iterable

from currantwharf.http1.message import Header


class Responder:
    """Write the answer to one request, once.

    `on_disconnect` registers what is called if the caller leaves before the answer.
    `network_delay_s` is the time in seconds that the caller waits beside the time here: a round
    trip for the request and its answer, and one more if the connection is new.
    `acknowledge` writes an interim answer.
    """

    __slots__ = ("_write", "_on_gone", "_is_done", "network_delay_s", "acknowledge")

    def __init__(
        self,
        write: Callable[[int, Iterable[Header], bytes], None],
        network_delay_s: float = 0.0,
        acknowledge: Callable[[], None] = lambda: None,
    ) -> None:
        self.acknowledge = acknowledge
        self._write = write
        self._on_gone: Callable[[], None] | None = None
        self._is_done = False
        self.network_delay_s = network_delay_s

    def on_disconnect(self, on_gone: Callable[[], None]) -> None:
        """Have `on_gone` called if the caller leaves without its answer."""
        self._on_gone = on_gone

    def finish(self, status: int, headers: Iterable[Header], body: bytes) -> None:
        """Write the answer, unless the caller has left."""
        if not self._is_done:
            self._is_done = True
            self._write(status, headers, body)

    def leave(self) -> None:
        """Note that the caller has left."""
        if not self._is_done:
            self._is_done = True
            if self._on_gone is not None:
                self._on_gone()
