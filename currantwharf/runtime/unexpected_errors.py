"""Errors that no part of the program expects, counted and logged within bounds.

An error in a decision about requests comes back with each request. The log gets the
first of its kind, and then one in a while, with the number of those in between.
"""

import traceback
from collections.abc import Callable

from currantwharf.runtime.component_log import ComponentLogger

LOG_INTERVAL_S = 60.0  # between two lines of the same kind of error
MAX_KINDS = 64  # of errors that are told apart


class UnexpectedErrors:
    """Counts unexpected errors and logs them.

    Two errors are of the same kind if they have the same type and were raised in the
    same line. `on_error` is called for each of them.
    """

    def __init__(self) -> None:
        self.count = 0
        self.on_error: Callable[[], None] = lambda: None
        self._logged_at: dict[tuple[str, str], float] = {}
        self._unlogged: dict[tuple[str, str], int] = {}

    def record(
        self, log: ComponentLogger, message: str, exc: Exception, now: float
    ) -> None:
        """Count an error, and log it unless one of its kind was logged a moment ago."""
        self.count += 1
        self.on_error()
        kind = (type(exc).__name__, _find_raising_line(exc))
        logged_at = self._logged_at.get(kind)
        if logged_at is not None and now - logged_at < LOG_INTERVAL_S:
            self._unlogged[kind] = self._unlogged.get(kind, 0) + 1
            return
        if logged_at is None and len(self._logged_at) >= MAX_KINDS:
            oldest = next(iter(self._logged_at))
            del self._logged_at[oldest]
            self._unlogged.pop(oldest, None)
        self._logged_at[kind] = now
        unlogged = self._unlogged.pop(kind, 0)
        log.error(message, exc_info=exc, extra={"not_logged_before": unlogged})


def _find_raising_line(exc: Exception) -> str:
    frames = traceback.extract_tb(exc.__traceback__, limit=-1)
    return f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""


PROCESS_ERRORS = UnexpectedErrors()
