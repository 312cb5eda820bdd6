"""Timers that let the process read before they decide that nothing has come.

The load: a process that decodes a large configuration, or has too little processor
time, does nothing else meanwhile. Then its timers run before what has arrived is read,
and would take an answer for missing that is there.
"""

from collections.abc import Callable
from typing import Any

# A timer that fires this much later than due may have been held up by other work.
MAX_TIMER_DELAY_S = 0.005


def is_held_up(due_at: float, now: float) -> bool:
    """Return whether a timer fires so late that unread bytes may be waiting.

    >>> is_held_up(10.0, 10.001), is_held_up(10.0, 10.1)
    (False, True)
    """
    return now - due_at > MAX_TIMER_DELAY_S


def call_after_reading(reactor: Any, call: Callable[..., None], *args: Any) -> Any:
    """Call a function after the reactor has read what has arrived; return the timer.

    Timers that a timer sets run in the next round of the reactor, which reads first.
    """
    return reactor.callLater(0.0, call, *args)
