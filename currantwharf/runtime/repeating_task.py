"""A function that is called at regular times, whatever it raises."""

from collections.abc import Callable
from typing import Any

from twisted.internet.task import LoopingCall

from currantwharf.runtime.component_log import component_logger

log = component_logger("task")


class RepeatingTask:
    """Call a function at regular times; an error is logged and the next call made.

    A `LoopingCall` by itself ends with the first error. The process would then go on
    without its timeouts, its gossip, or the end of its stop.
    """

    def __init__(self, reactor: Any, name: str, call: Callable[[], None]) -> None:
        self._name = name
        self._call = call
        self._loop = LoopingCall(self._call_once)
        self._loop.clock = reactor

    @property
    def running(self) -> bool:
        """Whether the calls have been started and not stopped."""
        return bool(self._loop.running)

    def start(self, interval_s: float, now: bool) -> None:
        """Start the calls, the first of them at once if `now` is true."""
        self._loop.start(interval_s, now=now)

    def stop(self) -> None:
        """Make no more calls."""
        self._loop.stop()

    def _call_once(self) -> None:
        try:
            self._call()
        except Exception:
            log.exception(
                "unexpected error; calling again at the next interval",
                extra={"task": self._name},
            )
