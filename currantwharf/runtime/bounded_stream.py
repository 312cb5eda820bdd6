"""Log stream that never blocks the process."""

import os
from collections.abc import Callable

WINDOW_S = 1.0
MAX_LINES_PER_WINDOW = 200  # further lines are counted but not written


class BoundedStream:
    """Stream that writes lines to a descriptor, and drops those that would block.

    The descriptor is made non-blocking. A line that can't be written, because the
    reader is slow or because there are too many lines in one second, is dropped and
    counted. The next line that is written is preceded by one with the number dropped.
    """

    def __init__(self, descriptor: int, clock: Callable[[], float]) -> None:
        self.dropped_count = 0
        self._descriptor = descriptor
        self._clock = clock
        self._window_started_at = clock()
        self._line_count = 0
        self._unwritten = b""
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write a line, or drop it; return its length, as a text stream does."""
        now = self._clock()
        if now - self._window_started_at >= WINDOW_S:
            self._window_started_at, self._line_count = now, 0
        self._line_count += 1
        if self._line_count > MAX_LINES_PER_WINDOW or not self._flush_unwritten():
            self.dropped_count += 1
            return len(text)
        data = text.encode()
        if self.dropped_count:
            notice = (
                b'{"level": "WARNING", "message": "log: lines left out", "count": %d}\n'
            )
            data = notice % self.dropped_count + data
            self.dropped_count = 0
        self._unwritten = data[self._write(data) :]
        return len(text)

    def flush(self) -> None:
        """Write as much of the rest of the last line as the reader accepts."""
        self._flush_unwritten()

    def _flush_unwritten(self) -> bool:
        """Write the rest of an earlier line; return whether nothing of it is left."""
        if self._unwritten:
            self._unwritten = self._unwritten[self._write(self._unwritten) :]
        return not self._unwritten

    def _write(self, data: bytes) -> int:
        try:
            return os.write(self._descriptor, data)
        except BlockingIOError:
            return 0
        except OSError:
            # The reader is gone, and there is no other place to report that.
            return len(data)
