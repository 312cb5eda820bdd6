"""The faults that can be injected into a stand-in backend server."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Fault:
    """The injected faults of a stand-in backend server.

    `slow` multiplies its service time. A `silent` server reads requests and never
    answers, a `draining` one refuses new work, a `failing` one fails every request
    at once.
    """

    slow: float = 1.0
    silent: bool = False
    draining: bool = False
    failing: bool = False
