"""What is wrong with a stand-in of a backend server."""

from dataclasses import dataclass


@dataclass(slots=True)
class ServerFaults:
    """Hold the faults of one server; `slow` is a factor of its work."""

    slow: float = 1.0
    silent: bool = False
    failing: bool = False
    shed: bool = False
