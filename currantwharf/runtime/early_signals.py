"""Signals that arrive before the program is ready to handle them.

A start takes a good part of a second, in which the default action of a signal ends the
process. The signals are held back until the program can handle them. This module
imports nothing else of the program, so that it can be the first thing that runs.
"""

import signal
from collections.abc import Callable
from types import FrameType

HELD_SIGNALS = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)

_arrived: list[int] = []


def hold_signals() -> None:
    """Hold back the signals that the program handles, from now on."""
    for number in HELD_SIGNALS:
        signal.signal(number, _hold)


def has_held_stop() -> bool:
    """Return whether a signal to stop has arrived and is held back."""
    return signal.SIGTERM in _arrived or signal.SIGINT in _arrived


def handle_signals(handle: Callable[[int], object]) -> None:
    """Have signals handled from now on, first those that were held back."""
    for number in HELD_SIGNALS:
        signal.signal(number, lambda number, frame: handle(number))
    arrived = dict.fromkeys(_arrived)
    _arrived.clear()
    for held in arrived:
        handle(held)


def _hold(number: int, frame: FrameType | None) -> None:
    _arrived.append(number)
