"""A stream for logs that never makes the process wait."""

import os
from collections.abc import Callable

WINDOW_S = 1.0  # seconds over which lines are counted
MOST_LINES = 200  # lines in a window; beyond them lines are counted, not written


class BoundedStream:
    """Write lines to a descriptor as far as its reader takes them.

    The descriptor is made non-blocking. A line that does not fit, because the reader
    is slow or too many lines came in one second, is dropped and counted; the next line
    that fits is preceded by one that tells the number.
    """

    def __init__(self, descriptor: int, clock: Callable[[], float]) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._clock = clock
        self._window_at = clock()
        self._lines = 0
        self._rest = b""
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write a line, or drop it."""
        now = self._clock()
        if now - self._window_at >= WINDOW_S:
            self._window_at, self._lines = now, 0
        self._lines += 1
        if self._lines > MOST_LINES or not self._flush_rest():
            self.dropped += 1
            return len(text)
        data = text.encode()
        if self.dropped:
            note = (
                b'{"level": "WARNING", "message": "log: lines left out", "count": %d}\n'
            )
            data = note % self.dropped + data
            self.dropped = 0
        self._rest = data[self._write(data) :]
        return len(text)

    def flush(self) -> None:
        """Write what is left of the last line, as far as the reader takes it."""
        self._flush_rest()

    def _flush_rest(self) -> bool:
        """Return whether no part of an earlier line is left."""
        if self._rest:
            self._rest = self._rest[self._write(self._rest) :]
        return not self._rest

    def _write(self, data: bytes) -> int:
        try:
            return os.write(self._descriptor, data)
        except BlockingIOError:
            return 0
        except OSError:
            # There is no reader any more, and nowhere else to say so.
            return len(data)
