"""The faults that a stand-in backend server can be told to show."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Fault:
    """Set the behaviour of a stand-in backend server.

    `slow` multiplies its service time. With `silent` it reads requests and never
    answers; with `draining` it refuses new work; with `failing` it fails at once.
    """

    slow: float = 1.0
    silent: bool = False
    draining: bool = False
    failing: bool = False
